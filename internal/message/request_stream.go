package message

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// FirstBytesTimeout is how long a client may take to send the first bytes of a body.
	FirstBytesTimeout = 800 * time.Millisecond

	// minBodyRate is the rate in bytes per second at which a client must send the rest of the body. It is far below the
	// rate of the slowest client.
	minBodyRate = 16 << 10

	// clientStallTimeout is how long a client may send nothing, however fast it was before. A client that stops in the
	// middle of a body is owed its error within 3 s.
	clientStallTimeout = 2500 * time.Millisecond

	// DiscardTimeout is how long a rejected client may keep writing, so that it can read the error response.
	DiscardTimeout = 500 * time.Millisecond
)

// ClientInput tells what has arrived on a client's connection. Its methods do not block.
type ClientInput interface {
	// Unread returns how many bytes have arrived that have not been read. ok is false if that is not known.
	Unread() (n int, ok bool)
	// LastWait returns when the last read ended that had to wait for the client, or zero if none had to.
	LastWait() time.Time
}

// RequestStream is the part of a request body that is not buffered. It is read only once, as fast as the backend
// accepts it. All methods except SetEndHook are safe for concurrent use.
type RequestStream struct {
	body    io.Reader
	length  int64 // announced length of the whole body in bytes; -1 if none
	control *http.ResponseController
	start   time.Time   // reference time for the minimum rate of the client
	onEnd   func()      // called when the whole body has been read; may be nil
	input   ClientInput // nil if unknown

	consumed    atomic.Bool   // part of the body can no longer be read
	ended       atomic.Bool   // the whole body has been read
	done        chan struct{} // closed when ended is set
	interrupted atomic.Bool   // reads fail until Resume is called

	mu         sync.Mutex // held during a read; guards the fields below
	received   int64      // bytes of the body received so far
	arrival    bodyArrival
	ahead      readAhead     // received, but not read from the stream
	readEnd    time.Time     // when the last read ended; zero before the first one
	notReading time.Duration // time between reads, for which the client is not to blame
	failure    error         // error of reading from the client, or ErrTooLong
}

// NewRequestStream returns a stream for a body. length is the announced length in bytes, or -1 if there is none.
// control sets the read deadlines of the client's connection. The first bytes are due FirstBytesTimeout after start.
func NewRequestStream(body io.Reader, length int64, control *http.ResponseController, start time.Time) *RequestStream {
	return &RequestStream{body: body, length: length, control: control, start: start, done: make(chan struct{}),
		arrival: bodyArrival{length: length, notBefore: time.Now()}}
}

// SetInput sets the connection on which the body arrives. It must be called before the first read.
func (s *RequestStream) SetInput(input ClientInput) { s.input = input }

// EarliestEnd returns the earliest time at which the client can have written the last byte of the body. From then on the
// client's timeout runs, although the proxy may not have received that byte yet. EarliestEnd must not be called during a
// read.
func (s *RequestStream) EarliestEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.input != nil && !s.ended.Load() {
		if unread, ok := s.input.Unread(); ok {
			s.arrival.observe(now, s.received, unread)
		}
	}
	return s.arrival.earliestEnd(now, s.received)
}

// SetEndHook sets a function that is called when the whole body has been read. It must be called before the first read.
func (s *RequestStream) SetEndHook(hook func()) { s.onEnd = hook }

// Length returns the announced length of the whole body in bytes, or -1 if there is none.
func (s *RequestStream) Length() int64 { return s.length }

// Consumed reports whether part of the body can no longer be read, so that the request cannot be sent again.
func (s *RequestStream) Consumed() bool { return s.consumed.Load() }

// Ended reports whether the whole body has been read.
func (s *RequestStream) Ended() bool { return s.ended.Load() }

// Done returns a channel that is closed when the whole body has been read. For a nil stream it returns nil.
func (s *RequestStream) Done() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.done
}

// Failure returns the error of reading from the client, or nil if there was none.
func (s *RequestStream) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Received returns how many bytes of the body have been received.
func (s *RequestStream) Received() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// ReceivedAll reports whether the announced number of bytes has been received.
func (s *RequestStream) ReceivedAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received == s.length
}

// Interrupt makes a pending read and all later ones fail with ErrInterrupted, until Resume is called.
func (s *RequestStream) Interrupt() {
	s.interrupted.Store(true)
	_ = s.control.SetReadDeadline(time.Unix(1, 0))
}

// Resume allows reads again after Interrupt.
func (s *RequestStream) Resume() { s.interrupted.Store(false) }

// Discard reads and drops what a client still sends after its response has been written. If the connection were closed
// with unread bytes, it would be reset and the client could lose the response.
func (s *RequestStream) Discard() {
	if s.ended.Load() || s.control.Flush() != nil {
		return
	}
	s.Resume()
	buf := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buf)
	for {
		if _, err := s.Read(buf[:]); err != nil { // io.EOF, or the client has stopped sending
			_ = s.control.SetReadDeadline(time.Now().Add(DiscardTimeout))
			return
		}
	}
}

// Read reads from the client. It fails if the client stalls or is slower than the minimum rate, or if the body exceeds
// MaxBody.
func (s *RequestStream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed.Store(true)
	if n := s.ahead.read(b); n > 0 {
		return n, nil
	}
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
	_ = s.control.SetReadDeadline(time.Time{}) // net/http keeps reading in the background to detect a disconnect
}

func (s *RequestStream) readLocked(b []byte) (int, error) {
	if !s.readEnd.IsZero() {
		s.notReading += time.Since(s.readEnd)
	}
	defer func() { s.readEnd = time.Now() }()
	_ = s.control.SetReadDeadline(s.nextReadDeadline())
	if s.interrupted.Load() { // Interrupt may have been called before SetReadDeadline replaced its deadline
		return 0, ErrInterrupted
	}
	n, err := s.body.Read(b) // net/http serializes this with its own accesses
	defer s.recordArrival()
	if s.received += int64(n); s.received > MaxBody {
		return n, ErrTooLong
	}
	return n, err
}

// recordArrival updates the estimate of the end of the body after a read.
func (s *RequestStream) recordArrival() {
	s.arrival.read(time.Now(), s.received)
	if s.input != nil {
		s.arrival.waited(s.input.LastWait())
	}
}

// nextReadDeadline returns the time by which the next bytes must arrive.
func (s *RequestStream) nextReadDeadline() time.Time {
	stalled := time.Now().Add(clientStallTimeout)
	tooSlow := s.start.Add(FirstBytesTimeout + s.notReading + time.Duration(s.received)*time.Second/minBodyRate)
	if tooSlow.Before(stalled) {
		return tooSlow
	}
	return stalled
}

// Buffer reads the body like ReadBuffered, but with the read deadlines of the stream. What it reads does not count as
// consumed, because the caller keeps it. Buffer must be called before the first Read.
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
