package clientconn

import (
	"net"
	"sync/atomic"
	"time"

	"baylock/internal/socket"
)

// minWait is how long a read must take to count as one that had to wait, on a connection that does not tell how many bytes
// have arrived.
const minWait = time.Millisecond

// readWaits records when reads of a connection had to wait for the client. A read that finds bytes does not: the client may
// have written them long before. Its methods are safe for concurrent use.
type readWaits struct {
	tracked atomic.Bool
	lastEnd atomic.Pointer[time.Time] // of a read that had to wait; nil if none had to
}

// readWait is a read that has begun.
type readWait struct {
	certain bool      // nothing had arrived when the read began
	begin   time.Time // zero if it is certain whether the read has to wait
}

// track starts or stops the recording. It is off while no body is being read, because it costs a system call for each read.
func (w *readWaits) track(on bool) { w.tracked.Store(on) }

// begin is called before a read.
func (w *readWaits) begin(c net.Conn) readWait {
	if !w.tracked.Load() {
		return readWait{}
	}
	unread, ok := socket.Unread(c)
	if !ok {
		return readWait{begin: time.Now()}
	}
	return readWait{certain: unread == 0}
}

// end is called at the time now, after a read that has returned bytes.
func (w *readWaits) end(wait readWait, now time.Time) {
	if wait.certain || !wait.begin.IsZero() && now.Sub(wait.begin) >= minWait {
		w.lastEnd.Store(&now)
	}
}

// last returns when the last read ended that had to wait, or zero if none had to.
func (w *readWaits) last() time.Time {
	if end := w.lastEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}
