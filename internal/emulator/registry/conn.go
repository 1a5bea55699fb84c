package registry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// client is one client of the service. Each has an address, or a dialer, of its own.
type client struct {
	list    string
	at      Location
	follows *replica // where the list is pushed: the replica that the client's agent follows; may be nil
}

// conn is a client's connection. It counts the bytes, and once silent it takes what the client sends and passes nothing
// back.
type conn struct {
	net.Conn
	service   *Service
	client    *client
	replica   *replica                // that answers it, where the list is asked for; nil: it came across a cut
	countedBy atomic.Pointer[replica] // whose usage its bytes are
	silent    atomic.Bool
	ended     chan struct{}
	end       sync.Once

	watching bool // a watch waits on it
}

// Read reads what the client sends.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if r := c.countedBy.Load(); r != nil {
		r.usage.addBytesIn(n)
	}
	return n, err
}

// Write sends to the client, unless the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if r := c.countedBy.Load(); r != nil {
		r.usage.addBytesOut(n)
	}
	return n, err
}

// Close closes the connection and takes it off the service's list.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.end.Do(func() {
		close(c.ended)
		c.service.forget(c)
	})
	return err
}

// reset closes the connection in such a way that the client is told of an error.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended
	}
	_ = c.Close() // nothing is to be kept of it
}

func resetAll(conns []*conn) {
	for _, c := range conns {
		c.reset()
	}
}

// sleep waits, and returns false if the connection ends first.
func (c *conn) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
	case <-c.ended:
	}
	return false
}

// awaitEnd leaves a call without an answer until its connection ends.
func (c *conn) awaitEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.ended:
	}
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }
