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

	stallTimeout time.Duration // time limit of each read; 0 for none
	readDeadline time.Time     // overall limit of all reads; zero for none
	aborted      atomic.Bool   // set by abort; all reads and writes fail
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

// limitReads sets a time limit for each read and a common deadline for all reads. Zero means no limit. If both are zero, Read
// leaves the read deadline of the connection as it is.
func (c *conn) limitReads(stallTimeout time.Duration, deadline time.Time) {
	c.stallTimeout, c.readDeadline = stallTimeout, deadline
}

// Read implements io.Reader and applies the limits that limitReads has set.
func (c *conn) Read(b []byte) (int, error) {
	if deadline := c.nextReadDeadline(); !deadline.IsZero() {
		_ = c.SetReadDeadline(deadline)
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

// nextReadDeadline returns when a read that begins now fails, or zero if there is no limit.
func (c *conn) nextReadDeadline() time.Time {
	if c.stallTimeout == 0 {
		return c.readDeadline
	}
	stalled := time.Now().Add(c.stallTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(stalled) {
		return c.readDeadline
	}
	return stalled
}

// onlyStalled reports whether a read that failed at its deadline has exceeded the stall timeout alone. Bytes that arrived
// within that timeout are still good if this process was too late to read them.
func (c *conn) onlyStalled() bool {
	return c.stallTimeout > 0 && !c.aborted.Load() && (c.readDeadline.IsZero() || time.Now().Before(c.readDeadline))
}

// SyscallConn implements syscall.Conn, so that package socket can inspect the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
