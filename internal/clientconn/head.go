package clientconn

import (
	"bytes"
	"sync"

	"baylock/internal/message"
)

// MaxHead is the size in bytes up to which the head of a request is accepted.
const MaxHead = 16 << 10

var headEnd = []byte("\r\n\r\n")

// requestHead records the head of a connection's next request as it arrives. What net/http makes of a head no longer
// shows whether it gave two framings, so that the body may hide another request.
type requestHead struct {
	mu         sync.Mutex // guards the fields below
	incomplete []byte     // what has arrived of a head that has not ended
	complete   bool
	valid      bool // it is complete, and says in one way where its body ends
}

// reset starts over for the next head.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incomplete, h.complete, h.valid = nil, false, false
}

// record takes bytes that have arrived.
func (h *requestHead) record(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete {
		return
	}
	if len(h.incomplete) > 0 {
		h.incomplete = append(h.incomplete, b...)
		b = h.incomplete
	}
	if end := bytes.Index(b, headEnd); end >= 0 {
		h.incomplete, h.complete, h.valid = nil, true, !message.HasConflictingFraming(b[:end])
	} else if len(b) > 2*MaxHead { // net/http has rejected it
		h.incomplete, h.complete = nil, true
	} else if len(h.incomplete) == 0 {
		h.incomplete = bytes.Clone(b)
	}
}

// started reports whether any of the head has arrived.
func (h *requestHead) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.incomplete) > 0 || h.complete
}

func (h *requestHead) hasValidFraming() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.valid
}
