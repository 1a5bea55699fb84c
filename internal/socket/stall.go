package socket

import (
	"errors"
	"net"
	"os"
	"time"
)

// stallChecks is how often a blocked write is repeated during StallLimit.Timeout unless StallLimit.Interval is set.
const stallChecks = 4

// StallLimit limits a write by the peer's progress: the write fails once the peer has made no room for further bytes for
// Timeout. A write deadline alone does not show that. The kernel wakes a blocked writer only when about a third of the
// send buffer is free, and to a slow reader that can take longer than the deadline. A repeated write succeeds as soon as
// there is any room.
type StallLimit struct {
	Timeout  time.Duration
	Interval time.Duration // how often a blocked write is repeated; 0 for a quarter of Timeout
	Deadline time.Time     // of the whole write; zero for none
	Aborted  func() bool   // reports whether the write has to end; asked before each repetition. Nil means never.
}

// Write writes b to a TCP connection, whose write deadline it replaces. If the peer stalls, the deadline passes or the
// write is aborted, the error matches os.ErrDeadlineExceeded. written is the number of bytes that the kernel has taken.
func (l StallLimit) Write(c net.Conn, b []byte) (written int, err error) {
	progressAt := time.Now()
	for {
		_ = c.SetWriteDeadline(l.nextCheck())
		if l.Aborted != nil && l.Aborted() { // the abort may have come before SetWriteDeadline replaced its deadline
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		if n > 0 {
			progressAt = now
		}
		if now.Sub(progressAt) >= l.Timeout || !l.Deadline.IsZero() && !now.Before(l.Deadline) {
			return written, err
		}
	}
}

// nextCheck returns when a write that is still blocked is repeated.
func (l StallLimit) nextCheck() time.Time {
	interval := l.Interval
	if interval == 0 {
		interval = l.Timeout / stallChecks
	}
	check := time.Now().Add(interval)
	if !l.Deadline.IsZero() && l.Deadline.Before(check) {
		return l.Deadline
	}
	return check
}
