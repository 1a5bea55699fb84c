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

// acceptRetry is the wait after a connection that could not be accepted, as where descriptors run short.
const acceptRetry = 10 * time.Millisecond

// Listen opens a loopback address for one client and gives it as host:port. It serves one list.
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
	client := &client{list: list, at: at}
	s.running.Go(func() { s.accept(listener, client) })
	return listener.Addr().String(), nil
}

func (s *Service) accept(listener net.Listener, client *client) {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptRetry):
				continue
			case <-s.closed:
				return
			}
		}
		if c, err := s.admit(raw, client); err != nil {
			c.reset()
		}
	}
}

// Dialer gives the connections of one client in memory, whatever the address. They serve one list.
func (s *Service) Dialer(list string, at Location) discovery.Dialer {
	client := &client{list: list, at: at}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		if c, err := s.admit(far, client); err != nil {
			c.reset()
			_ = near.Close() // unused
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return near, nil
	}
}

// admit hands a client's connection to the nearest replica. It is refused where every replica is down, and silent where
// a cut lies between. An agent takes every connection.
func (s *Service) admit(raw net.Conn, client *client) (*conn, error) {
	c := &conn{Conn: raw, service: s, client: client, ended: make(chan struct{})}
	if err := s.assign(c); err != nil {
		return c, err
	}
	select {
	case s.handoff.conns <- c:
		return c, nil
	case <-s.handoff.closed:
		return c, errClosed
	}
}

func (s *Service) assign(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return errClosed
	}
	if s.config.Ask {
		if !s.anyLive() {
			return syscall.ECONNREFUSED
		}
		c.replica = s.nearest(c.client.at)
		c.silent.Store(c.replica == nil)
		if c.replica != nil {
			c.replica.load++
		}
	}
	c.countedBy.Store(s.replicaFor(c))
	s.conns = append(s.conns, c)
	return nil
}

// forget takes a connection that has ended off the list.
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

// trackConn keeps count of the server's connections for Close.
func (s *Service) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.running.Add(1)
	case http.StateClosed:
		s.running.Done()
	}
}

// handoff is the listener from which the server takes the connections that admit hands over.
type handoff struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newHandoff() *handoff {
	return &handoff{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close lets no more connections in. The server calls it once.
func (h *handoff) Close() error {
	close(h.closed)
	return nil
}

// Addr names the listener; it has no address.
func (h *handoff) Addr() net.Addr { return &net.UnixAddr{Name: "registry", Net: "memory"} }
