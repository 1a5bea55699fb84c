package clientconn

import (
	"container/list"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"baylock/internal/socket"
)

// Conn is a client's connection. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	listener      *Listener
	acceptedAt    time.Time
	lastRead      atomic.Int64 // Unix nanoseconds; 0 before the first
	servedRequest atomic.Bool
	head          requestHead

	// Guarded by the listener's mu. A connection that carries no request is an element of one of its lists.
	list     *list.List // nil while a request is open
	element  *list.Element
	listedAt time.Time
}

// AcceptedAt is when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// ServedRequest reports whether a request has been answered on the connection.
func (c *Conn) ServedRequest() bool { return c.servedRequest.Load() }

// RequestStarted reports whether any bytes of the next request have arrived.
func (c *Conn) RequestStarted() bool { return c.head.started() }

// HasValidFraming reports whether the head of the present request has arrived and says in one way where its body ends.
func (c *Conn) HasValidFraming() bool { return c.head.hasValidFraming() }

// RequestRead is called when all of a request has been read: what arrives next is the head of another.
func (c *Conn) RequestRead() { c.head.reset() }

// ClientGone reports whether the client has closed or reset the connection, also behind bytes that nobody has read yet.
func (c *Conn) ClientGone() bool { return socket.PeerClosed(c) }

// Read records when bytes arrive, and the heads of requests.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.head.record(b[:n])
		c.listener.signalCapacity()
	}
	return n, err
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its error.
func (c *Conn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// SyscallConn gives package socket access to the descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// ConnContext is for the field of this name of an http.Server that serves a Listener.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connection)
}

// FromContext returns the connection on which a request arrived, or nil if its server does not use ConnContext.
func FromContext(ctx context.Context) *Conn {
	connection, _ := ctx.Value(contextKey{}).(*Conn)
	return connection
}
