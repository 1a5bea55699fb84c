package upstream

import (
	"bufio"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to an endpoint; it carries one request at a time. The pool owns it while it is idle, and one
// attempt while it is in use.
type conn struct {
	net.Conn
	reader     *bufio.Reader // its size limits the head of a response
	endpoint   *endpoint
	generation int           // of the endpoint when the connection was opened
	idleSince  time.Time     // when it was last used; zero if it never was
	idleTime   time.Duration // before its present use; 0 on the first
	written    bool          // something was written in its present use

	stallTimeout time.Duration // limit of each read; 0 for none
	readDeadline time.Time     // limit of all reads while stallTimeout is set; zero for none
	aborted      atomic.Bool   // all reads and writes fail
}

func newConn(nc net.Conn, target Target) *conn {
	c := &conn{Conn: nc, endpoint: target.endpoint, generation: target.generation}
	c.reader = bufio.NewReaderSize(c, maxResponseHead)
	return c
}

// abort ends all reads and writes, now and later.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// limitReads gives each read a time limit, and all of them a deadline if that is not zero.
func (c *conn) limitReads(stallTimeout time.Duration, deadline time.Time) {
	c.stallTimeout, c.readDeadline = stallTimeout, deadline
}

// Read implements io.Reader within the limits of limitReads.
func (c *conn) Read(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		deadline := time.Now().Add(c.stallTimeout)
		if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
			deadline = c.readDeadline
		}
		_ = c.SetReadDeadline(deadline)
		if c.aborted.Load() { // while the deadline was set
			return 0, os.ErrDeadlineExceeded
		}
	}
	return c.Conn.Read(b)
}

// SyscallConn implements syscall.Conn, so that the socket's state can be read.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
