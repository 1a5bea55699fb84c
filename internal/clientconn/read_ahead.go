package clientconn

import (
	"bytes"
	"sync"
)

const (
	httpBufferSize = 4 << 10 // of the buffer through which net/http reads a connection, in bytes

	// maxBodyPiece limits what net/http's buffer can hold of the next head when it has read the end of a body. It is the
	// number of bytes that a head can have there unrecorded.
	maxBodyPiece = 256
)

// readAhead holds bytes that have been read from a connection, but not passed on yet. net/http would buffer and parse them
// without another read, so that a head among them could be neither recorded nor limited. Its methods are safe for concurrent
// use, but only one goroutine may call copyTo, keep and drop.
type readAhead struct {
	mu    sync.Mutex // guards bytes
	bytes []byte
}

// copyTo copies bytes to b without removing them, and returns how many.
func (r *readAhead) copyTo(b []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return copy(b, r.bytes)
}

// keep stores a copy of b. The readAhead must be empty.
func (r *readAhead) keep(b []byte) {
	if len(b) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = bytes.Clone(b)
}

// drop removes the first n bytes.
func (r *readAhead) drop(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes = r.bytes[n:]; len(r.bytes) == 0 {
		r.bytes = nil
	}
}

func (r *readAhead) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bytes)
}

func (r *readAhead) empty() bool { return r.len() == 0 }
