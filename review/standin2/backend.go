package standin2

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Backend is a server of the tier. It keeps connections alive and serves one request at a time on each.
type Backend struct {
	Name, Address string

	listener net.Listener
	serve    Serve
	mu       sync.Mutex // guards conns
	conns    map[net.Conn]bool
}

// Serve answers one complete request on a connection. It returns false to close the connection.
type Serve func(conn net.Conn, r *http.Request, body []byte) (keep bool)

// StartBackend starts a backend. Its entry in the list is what Entry returns.
func (c *Case) StartBackend(name string, serve Serve) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Address: listener.Addr().String(), listener: listener, serve: serve, conns: map[net.Conn]bool{}}
	go b.accept()
	return b, nil
}

// Entry returns the entry of a backend that started long ago.
func (b *Backend) Entry(zone string, group int) Entry {
	return Entry{Name: b.Name, Address: b.Address, Zone: zone, Type: "intake-std", Group: group, Status: "SERVING", Weight: 1}
}

func (b *Backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serveConn(conn)
	}
}

func (b *Backend) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !b.serve(conn, r, body) {
			return
		}
	}
}

// End ends the backend's process: its connections are reset, and new ones are refused.
func (b *Backend) End() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}
