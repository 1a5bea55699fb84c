package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxHeld  = 64 << 10 // of a body is held whole, so that it can be sent again or an answer be asked for again
	maxBody  = 32 << 20 // of a body that is passed on as it comes
	copySize = 16 << 10
	heldPart = 8       // the bodies that are held may take this part of the memory
	heldMB   = 64      // of which, where no limit is told
	minHeld  = 2 << 20 // and so much at least

	firstHeld = 4 << 10

	// A client may write a body slowly. One that stops is closed in time: the first bytes are due like a head, and
	// the rest at a pace far under the slowest client's.
	bodyPatience = 800 * time.Millisecond
	bodyPace     = 16 << 10 // bytes a second

	// Nothing is sent again once a body is passed on as it comes, and what still comes is not cut off: either side
	// may rest for as long as this.
	streamStall = 5 * time.Second
	streamTaken = 10 * time.Second // a slow reader lets its window open in large steps
)

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// budget bounds the memory of all bodies that are held.
type budget struct {
	mu         sync.Mutex
	most, used int64
}

func (b *budget) limit(memoryMB float64) {
	if memoryMB == 0 {
		memoryMB = heldMB
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = max(minHeld, int64(memoryMB*(1<<20))/heldPart)
}

// lease is what the bodies of one request take of the budget until its answer has been given.
type lease struct {
	of    *budget
	n     int64
	ended bool
}

func (l *lease) take(n int64) bool {
	if l == nil {
		return true
	}
	l.of.mu.Lock()
	defer l.of.mu.Unlock()
	if l.ended || l.of.used+n > l.of.most {
		return false
	}
	l.of.used += n
	l.n += n
	return true
}

func (l *lease) end() {
	l.of.mu.Lock()
	defer l.of.mu.Unlock()
	l.of.used -= l.n
	l.n, l.ended = 0, true
}

// hold reads a body while it is no longer than maxHeld and the lease has room, and until that time if it is not zero.
// whole tells whether it has ended. The memory grows with what comes: a length alone costs none.
func hold(r io.Reader, length int64, l *lease, until time.Time) (body []byte, whole bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > maxHeld {
		return nil, false, nil
	}
	for {
		if len(body) == cap(body) {
			size := max(firstHeld, 2*cap(body))
			if length >= 0 {
				size = min(size, int(length))
			}
			if size > maxHeld || !l.take(int64(size-cap(body))) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF && length < 0 || length >= 0 && int64(len(body)) == length {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
		if !until.IsZero() && time.Now().After(until) {
			return body, false, nil
		}
	}
}

// upload is the part of a request's body that is not held: it is read once, as fast as the backend takes it.
type upload struct {
	from    io.Reader
	length  int64 // of the whole body; -1 if not told
	control *http.ResponseController
	start   time.Time     // when the head had come, or as if
	taken   int64         // what has come of the body
	used    atomic.Bool   // something of it is gone
	ended   atomic.Bool   // all of it has come
	over    chan struct{} // closed then
	mu      sync.Mutex    // held while something is read
	idle    atomic.Bool   // nobody wants more of it for now
	broken  error         // why the client's part failed
	next    func()        // told at the end; may be nil
}

// failure tells why the client's part failed.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.broken
}

// interrupt ends a read that waits for the client, and those after it until resume.
func (u *upload) interrupt() {
	u.idle.Store(true)
	_ = u.control.SetReadDeadline(time.Unix(1, 0))
}

func (u *upload) resume() { u.idle.Store(false) }

// complete tells whether as much has come as was told to come.
func (u *upload) complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.taken == u.length
}

// drain reads what a client still writes after its answer has been given: a close would reset what it has not read.
func (u *upload) drain() {
	if u.ended.Load() || u.control.Flush() != nil {
		return
	}
	u.resume()
	buf := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buf)
	for {
		if _, err := u.Read(buf[:]); err != nil { // also io.EOF, and a client that has stopped
			_ = u.control.SetReadDeadline(time.Now().Add(faultLinger))
			return
		}
	}
}

// end is closed when all of the body has come; without one it never is.
func (u *upload) end() <-chan struct{} {
	if u == nil {
		return nil
	}
	return u.over
}

var errInterrupted = errors.New("no more of the body is wanted")

// errTooLong is a body that goes on beyond what is passed on.
var errTooLong = errors.New("the body is too large")

// Read gives what the client writes. It fails when the client has stopped.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used.Store(true)
	n, err := u.read(b)
	if err == io.EOF {
		if !u.ended.Swap(true) {
			close(u.over)
			if u.next != nil {
				u.next()
			}
		}
		_ = u.control.SetReadDeadline(time.Time{}) // net/http reads on, to see a client that goes
	} else if u.idle.Load() {
		return n, errInterrupted
	} else if err != nil {
		u.broken = err
	}
	return n, err
}

func (u *upload) read(b []byte) (int, error) {
	_ = u.control.SetReadDeadline(u.due())
	if u.idle.Load() { // while the deadline was set
		return 0, errInterrupted
	}
	n, err := u.from.Read(b) // takes turns with what net/http does to it
	if u.taken += int64(n); u.taken > maxBody {
		return n, errTooLong
	}
	return n, err
}

// due is when the next bytes have to come.
func (u *upload) due() time.Time {
	return u.start.Add(bodyPatience + time.Duration(u.taken)*time.Second/bodyPace)
}

// asHeld reads as upload does, for the part that is held: with it nothing is used up.
type asHeld struct{ *upload }

func (h asHeld) Read(b []byte) (int, error) { return h.read(b) }

// download is an answer that is passed on as it comes. The client's side reads it and then says how that went.
type download struct {
	first   []byte // what has been read already
	body    io.Reader
	length  int64 // -1 if not told
	conn    *conn
	content string     // its Content-Type
	done    chan error // the client's side, with how it went
}

// deliver passes the answer on: no piece waits for the next.
func (d *download) deliver(ctx context.Context, w http.ResponseWriter) (err error) {
	c := http.NewResponseController(w)
	// Nobody takes the rest of an answer whose client has gone.
	unhook := context.AfterFunc(ctx, d.conn.cut)
	defer func() {
		if !unhook() && err == nil {
			err = ctx.Err()
		}
	}()
	put := func(b []byte) error {
		_ = c.SetWriteDeadline(time.Now().Add(streamTaken))
		if _, err := w.Write(b); err != nil {
			return fmt.Errorf("client: %w", err)
		}
		if err := c.Flush(); err != nil {
			return fmt.Errorf("client: %w", err)
		}
		return nil
	}
	// The head goes ahead of the body, also where none of that has come: a client whose connection ends without a word
	// takes its request for unread and sends it again.
	w.WriteHeader(http.StatusOK)
	if err := put(d.first); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buf)
	for passed := int64(len(d.first)); ; {
		n, err := d.body.Read(buf[:])
		if passed += int64(n); passed > maxBody {
			return errTooLong
		}
		if n > 0 {
			if err := put(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && (d.length < 0 || passed == d.length) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("backend: %w", err)
		}
	}
}
