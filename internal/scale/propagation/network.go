package propagation

import (
	"context"
	"net"
	"sync/atomic"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
)

// network returns the address at which the discovery service serves a list to a proxy, and its dialer.
type network func(s *registry.Service, list string, at registry.Location) (string, discovery.Dialer, error)

// overTCP is a network that listens on a loopback address for each proxy.
func overTCP(s *registry.Service, list string, at registry.Location) (string, discovery.Dialer, error) {
	address, err := s.Listen(list, at)
	return address, (&net.Dialer{}).DialContext, err
}

// countBytes wraps a dialer so that its connections add the bytes that they read and write to a counter.
func countBytes(dial discovery.Dialer, bytes *atomic.Int64) discovery.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, bytes: bytes}, nil
	}
}

// countingConn is a connection that counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
