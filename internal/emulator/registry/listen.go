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

// acceptBackoff is the delay after a failed accept, for example when the process is out of file descriptors.
const acceptBackoff = 10 * time.Millisecond

// Listen opens a TCP listener that serves one list to one client, and returns its loopback address as host:port.
func (s *Service) Listen(list string, location Location) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for client %q: %w", location.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		_ = listener.Close() // unused
		return "", errClosed
	}
	s.listeners = append(s.listeners, listener)
	client := &client{list: list, location: location}
	s.running.Go(func() { s.accept(listener, client) })
	return listener.Addr().String(), nil
}

// accept serves a client's connections until the listener is closed.
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
		if c, err := s.serveConn(raw, client); err != nil {
			c.reset()
		}
	}
}

// Dialer returns a dialer for in-memory connections that serve one list to one client. The dialer ignores the address.
func (s *Service) Dialer(list string, location Location) discovery.Dialer {
	client := &client{list: list, location: location}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		clientEnd, serverEnd := net.Pipe()
		if c, err := s.serveConn(serverEnd, client); err != nil {
			c.reset()
			_ = clientEnd.Close() // unused
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return clientEnd, nil
	}
}

// serveConn passes a client's connection to the HTTP server. Where the list is polled, it refuses the connection if
// every replica is down, and makes it silent if the client cannot reach any. Agents accept every connection. If it
// returns an error, the caller must close the connection.
func (s *Service) serveConn(raw net.Conn, client *client) (*conn, error) {
	c := &conn{Conn: raw, service: s, client: client, ended: make(chan struct{})}
	if err := s.registerConn(c); err != nil {
		return c, err
	}
	select {
	case s.memoryListener.conns <- c:
		return c, nil
	case <-s.memoryListener.closed:
		return c, errClosed
	}
}

// registerConn adds a connection to the service and, where the list is polled, assigns it to the nearest replica.
func (s *Service) registerConn(c *conn) error {
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
	c.usageReplica.Store(s.replicaFor(c))
	s.conns = append(s.conns, c)
	return nil
}

// removeConn removes a closed connection from the service.
func (s *Service) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := slices.Index(s.conns, c)
	if index < 0 {
		return
	}
	s.conns = slices.Delete(s.conns, index, index+1)
	if c.replica != nil {
		c.replica.load--
	}
}

// trackConn tracks the HTTP server's connections, so that Close can wait for them.
func (s *Service) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.running.Add(1)
	case http.StateClosed:
		s.running.Done()
	}
}

// memoryListener is the net.Listener of the HTTP server. It accepts the connections, TCP or in-memory, that serveConn
// passes to it.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It must be called only once, as the HTTP server does.
func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns a placeholder, as the listener has no address.
func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "registry", Net: "memory"} }
