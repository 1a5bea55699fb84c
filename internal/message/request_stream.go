package message

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// FirstBytesPatience is how long a client may take for the first bytes of a body.
	FirstBytesPatience = 800 * time.Millisecond

	minBodyRate = 16 << 10 // bytes a second that a client has to write thereafter, far under the slowest one's rate

	// DiscardPatience is how long a rejected client may go on writing, so that it can read its error.
	DiscardPatience = 500 * time.Millisecond
)

// RequestStream is the part of a request's body that is not buffered: it is read once, as fast as the backend takes
// it. Its methods are safe for concurrent use, but for SetEndHook.
type RequestStream struct {
	body    io.Reader
	length  int64 // of the whole body in bytes; -1 if not announced
	control *http.ResponseController
	start   time.Time // reference for the pace that the client has to keep
	onEnd   func()    // called at the body's end; may be nil

	consumed    atomic.Bool   // some of it can no longer be read
	ended       atomic.Bool   // all of it has been read
	done        chan struct{} // closed then
	interrupted atomic.Bool   // nobody wants more of it for now

	mu       sync.Mutex // held during a read; guards the fields below
	received int64      // bytes of the body so far
	failure  error      // why the client's side failed
}

// NewRequestStream returns a stream for a body with an announced length in bytes, or -1. control sets the read deadlines
// of the client's connection. The first bytes are due FirstBytesPatience after start.
func NewRequestStream(body io.Reader, length int64, control *http.ResponseController, start time.Time) *RequestStream {
	return &RequestStream{body: body, length: length, control: control, start: start, done: make(chan struct{})}
}

// SetEndHook sets a function that is called when all of the body has been read. It is set before the first read.
func (s *RequestStream) SetEndHook(hook func()) { s.onEnd = hook }

// Length returns the announced length of the whole body in bytes, -1 if there is none.
func (s *RequestStream) Length() int64 { return s.length }

// Consumed reports whether some of the body can no longer be read, so that the request cannot be sent again.
func (s *RequestStream) Consumed() bool { return s.consumed.Load() }

// Ended reports whether all of the body has been read.
func (s *RequestStream) Ended() bool { return s.ended.Load() }

// Done returns a channel that is closed when all of the body has been read. Without a stream it is nil.
func (s *RequestStream) Done() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.done
}

// Failure returns why the client's side failed, if it did.
func (s *RequestStream) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// ReceivedAll reports whether as many bytes have arrived as were announced.
func (s *RequestStream) ReceivedAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received == s.length
}

// Interrupt ends a read that waits for the client, and those after it until Resume.
func (s *RequestStream) Interrupt() {
	s.interrupted.Store(true)
	_ = s.control.SetReadDeadline(time.Unix(1, 0))
}

// Resume allows reads again after Interrupt.
func (s *RequestStream) Resume() { s.interrupted.Store(false) }

// Discard reads what a client still writes after its answer has been given: a close would reset what it has not read.
func (s *RequestStream) Discard() {
	if s.ended.Load() || s.control.Flush() != nil {
		return
	}
	s.Resume()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		if _, err := s.Read(buf[:]); err != nil { // also io.EOF, and a client that has stopped
			_ = s.control.SetReadDeadline(time.Now().Add(DiscardPatience))
			return
		}
	}
}

// Read returns what the client writes. It fails once the client falls behind its pace or the body exceeds MaxBody.
func (s *RequestStream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed.Store(true)
	n, err := s.readLocked(b)
	switch {
	case err == io.EOF:
		s.end()
	case s.interrupted.Load():
		return n, ErrInterrupted
	case err != nil:
		s.failure = err
	}
	return n, err
}

func (s *RequestStream) end() {
	if !s.ended.Swap(true) {
		close(s.done)
		if s.onEnd != nil {
			s.onEnd()
		}
	}
	_ = s.control.SetReadDeadline(time.Time{}) // net/http reads on, to notice a client that disconnects
}

func (s *RequestStream) readLocked(b []byte) (int, error) {
	_ = s.control.SetReadDeadline(s.nextDue())
	if s.interrupted.Load() { // while the deadline was set
		return 0, ErrInterrupted
	}
	n, err := s.body.Read(b) // net/http serializes this with its own accesses
	if s.received += int64(n); s.received > MaxBody {
		return n, ErrTooLong
	}
	return n, err
}

// nextDue is when the next bytes have to arrive.
func (s *RequestStream) nextDue() time.Time {
	return s.start.Add(FirstBytesPatience + time.Duration(s.received)*time.Second/minBodyRate)
}

// Buffer reads the body as ReadBuffered does, at the pace of a stream. What it reads is not consumed: the caller keeps
// it. It is called before any Read.
func (s *RequestStream) Buffer(reservation *Reservation) (body []byte, complete bool, err error) {
	return ReadBuffered(unconsumedReader{s}, s.length, reservation, time.Time{})
}

// unconsumedReader reads from a stream without marking it as consumed or ended.
type unconsumedReader struct{ stream *RequestStream }

func (r unconsumedReader) Read(b []byte) (int, error) {
	r.stream.mu.Lock()
	defer r.stream.mu.Unlock()
	return r.stream.readLocked(b)
}
