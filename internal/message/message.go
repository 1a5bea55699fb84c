// Package message holds the parts of HTTP messages that both sides of the proxy use: the memory budget of buffered
// bodies, bodies that are buffered and bodies that are streamed, and checks of a message's framing.
package message

import (
	"errors"
	"sync"
	"time"
)

// StreamStall is how long either side of a streamed body may rest. Nothing of such a body is sent again, so what still
// arrives is not cut off early.
const StreamStall = 5 * time.Second

// ErrTooLong reports a body that is longer than MaxBody.
var ErrTooLong = errors.New("the body is too large")

// ErrInterrupted reports a read of a RequestStream that Interrupt has ended.
var ErrInterrupted = errors.New("no more of the body is wanted")

const copyBufferSize = 16 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}
