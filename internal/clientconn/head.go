package clientconn

import (
	"bytes"
	"sync"

	"baylock/internal/message"
)

// MaxHead is the maximum size of a request's head in bytes.
const MaxHead = 16 << 10

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// requestHead records the head of a connection's next request as it arrives. The http.Request that net/http makes of
// the head no longer shows whether it contained both Content-Length and Transfer-Encoding. A body that is framed in
// both ways may hide another request (request smuggling).
type requestHead struct {
	mu         sync.Mutex // guards the fields below
	incomplete []byte     // the bytes of the head so far, until it is complete
	complete   bool
	validLine  string // first line of a complete head that defines the end of the body in only one way; else empty
}

// reset prepares for the next request's head.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incomplete, h.complete, h.validLine = nil, false, ""
}

// record adds bytes that have arrived. It returns how many of them belong to the head or precede it: none if the head was
// complete before, otherwise at least one.
func (h *requestHead) record(arrived []byte) (headBytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete {
		return 0
	}
	b := arrived
	if len(h.incomplete) == 0 {
		b = bytes.TrimLeft(b, "\r\n") // net/http skips empty lines before a request
	}
	if len(b) == 0 {
		return len(arrived)
	}
	if len(h.incomplete) > 0 {
		h.incomplete = append(h.incomplete, b...)
		b = h.incomplete
	}
	if end := bytes.Index(b, headEnd); end >= 0 {
		h.incomplete, h.complete = nil, true
		if !message.HasConflictingFraming(b[:end]) {
			line, _, _ := bytes.Cut(b[:end], lineEnd)
			h.validLine = string(line)
		}
		return len(arrived) - (len(b) - end - len(headEnd))
	}
	if len(b) > 2*MaxHead { // net/http has rejected it
		h.incomplete, h.complete = nil, true
	} else if len(h.incomplete) == 0 {
		h.incomplete = bytes.Clone(b)
	}
	return len(arrived)
}

// started reports whether any of the head has arrived.
func (h *requestHead) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.incomplete) > 0 || h.complete
}

// hasValidFraming reports whether the complete head, which begins with a request line, defines the end of the body in only
// one way. If the first bytes of the head arrived together with the request before it, they are not recorded, and what is
// recorded does not begin with the request line.
func (h *requestHead) hasValidFraming(requestLine string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validLine == requestLine
}
