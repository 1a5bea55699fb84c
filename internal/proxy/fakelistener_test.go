package proxy

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"baylock/internal/clientconn"
)

// gatedConn calls gate after each read, and returns the data only when gate has returned.
type gatedConn struct {
	*net.TCPConn
	gate func()
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.gate()
	}
	return n, err
}

// gatedListener wraps a listener and calls functions when it is used. Each function may be nil.
type gatedListener struct {
	net.Listener
	gate      func(net.Conn) net.Conn // returns what Accept returns for an accepted connection
	onInspect func()                  // called before SyscallConn returns the socket
	onClose   func()                  // called after the listener has been closed
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.gate != nil {
		c = l.gate(c)
	}
	return c, err
}

func (l gatedListener) Close() error {
	err := l.Listener.Close()
	if l.onClose != nil {
		l.onClose()
	}
	return err
}

func (l gatedListener) SyscallConn() (syscall.RawConn, error) {
	if l.onInspect != nil {
		l.onInspect()
	}
	return l.Listener.(syscall.Conn).SyscallConn()
}

// failingListener returns an error from every Accept once fail is closed.
type failingListener struct {
	net.Listener
	fail <-chan struct{}
}

var errListenerFailed = errors.New("the listener has failed")

func (l failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	select {
	case <-l.fail:
		if err == nil {
			c.Close()
		}
		return nil, errListenerFailed
	default:
		return c, err
	}
}

// onlyConnection returns the only client connection of the proxy.
func (p *runningProxy) onlyConnection(t *testing.T) *clientconn.Conn {
	t.Helper()
	connections := p.clients.Connections()
	if len(connections) != 1 {
		t.Fatalf("%d client connections", len(connections))
	}
	return connections[0]
}
