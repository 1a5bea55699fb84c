package clientconn

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"baylock/internal/message"
	"baylock/internal/socket"
)

// noMemoryResponse is the response to a request whose head is rejected for lack of memory.
const noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errNoHeadMemory reports a head that was rejected because Options.HeadBudget does not allow it.
var errNoHeadMemory = errors.New("no memory for the head of a request")

// Conn is a connection from a client. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	listener      *Listener
	acceptedAt    time.Time
	lastRead      atomic.Int64 // Unix nanoseconds; 0 before the first read
	servedRequest atomic.Bool
	head          requestHead
	headMemory    headMemory
	readAhead     readAhead

	writeStallTimeout atomic.Int64 // nanoseconds; 0 if writes have a deadline instead
	waits             readWaits

	// Guarded by the listener's mu. A connection without an open request is an element of one of the listener's lists.
	list     *list.List // nil while a request is open
	element  *list.Element
	listedAt time.Time // when the connection was added to list
}

// AcceptedAt returns when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// ServedRequest reports whether a request has been answered on the connection.
func (c *Conn) ServedRequest() bool { return c.servedRequest.Load() }

// RequestStarted reports whether any bytes of the next request have arrived.
func (c *Conn) RequestStarted() bool { return c.head.started() }

// HasValidFraming reports whether the head of the current request, which begins with a request line, is complete and defines
// the end of the body in only one way. It is false if the start of the head was not recorded.
func (c *Conn) HasValidFraming(requestLine string) bool { return c.head.hasValidFraming(requestLine) }

// RequestRead has to be called when a request has been read completely, so that the bytes after it are recorded as the
// head of the next request.
func (c *Conn) RequestRead() {
	c.headMemory.requestRead()
	c.head.reset()
	c.waits.track(false)
}

// isQuiet reports whether the connection is open and nothing has arrived that has not been passed on.
func (c *Conn) isQuiet() bool { return c.readAhead.empty() && socket.IsQuiet(c) }

// ClientGone reports whether the client has closed or reset the connection, even if bytes that it sent before are still
// unread.
func (c *Conn) ClientGone() bool { return socket.PeerClosed(c) }

// TrackWaits makes LastWait valid, until the request has been read.
func (c *Conn) TrackWaits() { c.waits.track(true) }

// LastWait implements message.ClientInput.
func (c *Conn) LastWait() time.Time { return c.waits.last() }

// Unread implements message.ClientInput.
func (c *Conn) Unread() (n int, ok bool) {
	n, ok = socket.Unread(c.Conn)
	return n + c.readAhead.len(), ok
}

// Read implements net.Conn. It also records when bytes arrive, and the heads of requests, and rejects a head for which there
// is no memory. It returns no bytes beyond the end of a head, and few beyond the end of a body, because net/http parses the
// head that follows as soon as it has it.
func (c *Conn) Read(b []byte) (int, error) {
	runtime.Gosched() // a client that sends at full speed never blocks, and other clients' requests take several goroutines
	if kept := c.readAhead.copyTo(b); kept > 0 {
		n, err := c.pass(b[:kept])
		c.readAhead.drop(n)
		return n, err
	}
	received, err := c.receive(b)
	if received == 0 {
		return 0, err
	}
	n, err := c.pass(b[:received])
	c.readAhead.keep(b[n:received])
	return n, err
}

// receive reads from the socket. Bytes that arrived before the read deadline are returned after it as well: package net fails
// such a read, but it is this process that is late.
func (c *Conn) receive(b []byte) (int, error) {
	wait := c.waits.begin(c.Conn)
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = socket.ReadArrived(c.Conn, b)
	}
	if n > 0 {
		now := time.Now()
		c.waits.end(wait, now)
		c.lastRead.Store(now.UnixNano())
		c.listener.signalCapacity()
	}
	return n, err
}

// pass records what of b belongs to a head, and returns how many bytes of b net/http may have now.
func (c *Conn) pass(b []byte) (int, error) {
	headBytes := c.head.record(b)
	if headBytes > 0 {
		if !c.headMemory.add(b[:headBytes]) {
			return 0, c.rejectHead(b)
		}
		return headBytes, nil
	}
	if len(b) <= httpBufferSize {
		return min(len(b), maxBodyPiece), nil
	}
	return len(b), nil // read into the body, without net/http's buffer
}

// rejectHead answers the request whose head is arriving with noMemoryResponse. Then it discards what the client still sends
// during message.DiscardTimeout: a close with unread bytes would reset the connection, and the client could lose the
// response. The buffer is used for that. The error that rejectHead returns makes net/http close the connection.
func (c *Conn) rejectHead(buffer []byte) error {
	now := time.Now()
	c.listener.rejections.Add(now)
	_ = c.Conn.SetDeadline(now.Add(message.DiscardTimeout))
	_, err := io.WriteString(c.Conn, noMemoryResponse)
	if err == nil {
		err = c.CloseWrite()
	}
	for err == nil {
		_, err = c.Conn.Read(buffer)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errNoHeadMemory} // net/http does not answer after an OpError
}

// LimitWriteStalls replaces the write deadline, until the next call of SetWriteDeadline: writes fail only when the client
// has accepted no bytes for the timeout. net/http sets a write deadline for each request.
func (c *Conn) LimitWriteStalls(timeout time.Duration) { c.writeStallTimeout.Store(int64(timeout)) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.writeStallTimeout.Store(0)
	return c.Conn.SetWriteDeadline(deadline)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if timeout := time.Duration(c.writeStallTimeout.Load()); timeout > 0 {
		return socket.StallLimit{Timeout: timeout}.Write(c.Conn, b)
	}
	return c.Conn.Write(b)
}

// CloseWrite half-closes the connection. net/http calls it before it closes a connection, so that a client that is
// still sending can read an error response.
func (c *Conn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// SyscallConn gives package socket access to the file descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// contextKey is the context key under which a request's connection is stored.
type contextKey struct{}

// ConnContext is the value for the ConnContext field of an http.Server that serves a Listener.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connection)
}

// FromContext returns the connection on which a request arrived, or nil if its server does not use ConnContext.
func FromContext(ctx context.Context) *Conn {
	connection, _ := ctx.Value(contextKey{}).(*Conn)
	return connection
}
