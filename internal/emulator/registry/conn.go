package registry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// client is one client of the service, with an address or a dialer of its own.
type client struct {
	list     string
	location Location
	replica  *replica // where the list is pushed: the replica that the client's agent is attached to, or nil
}

// conn is a client's connection. It counts the bytes read and written. Once silent, it discards all bytes written to
// the client.
type conn struct {
	net.Conn
	service      *Service
	client       *client
	replica      *replica                // where the list is polled: serves the connection; nil if none was reachable
	usageReplica atomic.Pointer[replica] // the bytes are added to the usage of this replica
	silent       atomic.Bool
	ended        chan struct{} // closed by Close
	endOnce      sync.Once

	watching bool // whether a watch is pending; guarded by Service.mu
}

// Read reads from the client.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if r := c.usageReplica.Load(); r != nil {
		r.usage.addBytesIn(n)
	}
	return n, err
}

// Write writes to the client, unless the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if r := c.usageReplica.Load(); r != nil {
		r.usage.addBytesOut(n)
	}
	return n, err
}

// Close closes the connection and removes it from the service.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.endOnce.Do(func() {
		close(c.ended)
		c.service.removeConn(c)
	})
	return err
}

// reset closes the connection so that the client gets an error: over TCP, it sends an RST segment.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // the connection is unusable even if Close fails
}

func resetAll(conns []*conn) {
	for _, c := range conns {
		c.reset()
	}
}

// sleep waits for a duration. It returns false if the request or the connection ends first.
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

// waitForEnd waits until the request or the connection ends, so that the request gets no response.
func (c *conn) waitForEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.ended:
	}
}

// connKey is the context key for the conn that a request arrived on.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }
