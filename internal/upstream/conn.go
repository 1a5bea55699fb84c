package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"baylock/internal/socket"
)

// conn is a connection to an endpoint. It carries one request at a time. The pool owns an idle connection; an attempt
// owns a connection that is in use.
type conn struct {
	net.Conn
	reader     *bufio.Reader // its buffer size limits the size of a response head
	endpoint   *endpoint
	generation int           // the endpoint's generation when the connection was opened
	idleSince  time.Time     // when it last became idle, uses that wrote nothing aside; zero if it never did
	idleTime   time.Duration // how long it was idle before its current use; 0 if it is new
	written    bool          // set right before the first byte of its current use is written

	limits  readLimits
	aborted atomic.Bool // set by abort; all reads and writes fail
}

// readLimits limit the reads of a connection. The zero value leaves the connection's read deadline as it is.
type readLimits struct {
	stallTimeout     time.Duration // of each read; 0 for none
	deadline         time.Time     // of all reads; zero for none
	lateStallTimeout time.Duration // a read may last for so long even if that is after the deadline
}

func newConn(nc net.Conn, target Target) *conn {
	c := &conn{Conn: nc, endpoint: target.endpoint, generation: target.generation}
	c.reader = bufio.NewReaderSize(c, maxResponseHead)
	return c
}

// abort makes all pending and future reads and writes fail.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// limitReads sets the limits of all further reads.
func (c *conn) limitReads(limits readLimits) { c.limits = limits }

// Read implements io.Reader and applies the limits that limitReads has set.
func (c *conn) Read(b []byte) (int, error) {
	if end := c.limits.readEnd(time.Now()); !end.IsZero() {
		_ = c.SetReadDeadline(end)
		if c.aborted.Load() { // abort may have been called before SetReadDeadline replaced its deadline
			return 0, os.ErrDeadlineExceeded
		}
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.onlyStalled() {
		return socket.ReadArrived(c.Conn, b)
	}
	return n, err
}

// readEnd returns when a read that begins at a time fails, or zero if there is no limit.
func (l readLimits) readEnd(begin time.Time) time.Time {
	end := l.deadline
	if late := begin.Add(l.lateStallTimeout); l.lateStallTimeout > 0 && end.Before(late) {
		end = late
	}
	if stalled := begin.Add(l.stallTimeout); l.stallTimeout > 0 && (end.IsZero() || stalled.Before(end)) {
		end = stalled
	}
	return end
}

// onlyStalled reports whether a read that failed at its deadline has exceeded a stall timeout alone. Bytes that arrived
// within that timeout are still good if this process was too late to read them.
func (c *conn) onlyStalled() bool {
	l := c.limits
	stalls := l.stallTimeout > 0 && (l.deadline.IsZero() || time.Now().Before(l.deadline)) || l.lateStallTimeout > 0
	return stalls && !c.aborted.Load()
}

// SyscallConn implements syscall.Conn, so that package socket can inspect the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
