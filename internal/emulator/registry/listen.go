package registry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"baylock/internal/discovery"
)

// acceptBackoff is the wait after a failed accept, as when file descriptors run out.
const acceptBackoff = 10 * time.Millisecond

// Listen opens a loopback address, host:port, at which one client is served one list.
func (s *Service) Listen(list string, at Location) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for client %q: %w", at.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		_ = listener.Close() // unused
		return "", errClosed
	}
	s.listeners = append(s.listeners, listener)
	client := &client{list: list, location: at}
	s.running.Go(func() { s.accept(listener, client) })
	return listener.Addr().String(), nil
}

// accept accepts a client's connections until the listener is closed.
func (s *Service) accept(listener net.Listener, client *client) {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptBackoff):
				continue
			case <-s.closed:
				return
			}
		}
		if c, err := s.handOver(raw, client); err != nil {
			c.reset()
		}
	}
}

// Dialer returns a dialer for in-memory connections of one client, which is served one list. It ignores the address.
func (s *Service) Dialer(list string, at Location) discovery.Dialer {
	client := &client{list: list, location: at}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		if c, err := s.handOver(far, client); err != nil {
			c.reset()
			_ = near.Close() // unused
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return near, nil
	}
}

// handOver hands a client's connection to the HTTP server. Where the list is polled, it is refused if every replica is
// down, and silent if the client reaches none. An agent takes every connection.
func (s *Service) handOver(raw net.Conn, client *client) (*conn, error) {
	c := &conn{Conn: raw, service: s, client: client, ended: make(chan struct{})}
	if err := s.assign(c); err != nil {
		return c, err
	}
	select {
	case s.memoryListener.conns <- c:
		return c, nil
	case <-s.memoryListener.closed:
		return c, errClosed
	}
}

// assign assigns a connection to the nearest replica, where the list is polled.
func (s *Service) assign(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return errClosed
	}
	if s.config.Poll {
		if !s.anyLive() {
			return syscall.ECONNREFUSED
		}
		c.replica = s.nearest(c.client.location)
		c.silent.Store(c.replica == nil)
		if c.replica != nil {
			c.replica.load++
		}
	}
	c.metered.Store(s.replicaFor(c))
	s.conns = append(s.conns, c)
	return nil
}

// forget removes a connection that has ended.
func (s *Service) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.conns, c)
	if at < 0 {
		return
	}
	s.conns = slices.Delete(s.conns, at, at+1)
	if c.replica != nil {
		c.replica.load--
	}
}

// trackConn counts the server's connections for Close.
func (s *Service) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.running.Add(1)
	case http.StateClosed:
		s.running.Done()
	}
}

// memoryListener is a net.Listener for the connections that handOver hands over.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (h *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. The server calls it once.
func (h *memoryListener) Close() error {
	close(h.closed)
	return nil
}

// Addr returns a placeholder, as the listener has no address.
func (h *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "registry", Net: "memory"} }
