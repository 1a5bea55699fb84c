// Package message implements the HTTP message handling that both sides of the proxy share: the memory budget for
// buffered bodies, buffered and streamed bodies, and checks of a message's framing.
package message

import (
	"errors"
	"sync"
	"time"
)

const (
	// StreamStallTimeout is how long a backend may send no bytes of a streamed response. It is long because a streamed body
	// that is cut off cannot be sent again.
	StreamStallTimeout = 5 * time.Second

	// WriteStallTimeout is how long the receiver of a streamed body, a client or a backend, may accept no bytes. It is long
	// because the receive window of a slow reader opens in large steps.
	WriteStallTimeout = 10 * time.Second
)

// ErrTooLong reports a body that is longer than MaxBody.
var ErrTooLong = errors.New("the body is too large")

// ErrInterrupted reports that RequestStream.Interrupt has ended a read.
var ErrInterrupted = errors.New("reading the body was interrupted")

const (
	deliveryBufferSize = 4 << 10 // bytes; of a response that is being forwarded, which may take long
	discardBufferSize  = 5 << 10 // bytes; more than net/http's buffer, so that reads bypass it
)

var (
	discardBuffers  = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}
	deliveryBuffers = sync.Pool{New: func() any { return new([deliveryBufferSize]byte) }}
)
