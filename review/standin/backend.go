package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Backend stands in for a backend. It reads requests from its connections, one at a time, and runs each by calling
// handle, which writes the answer.
type Backend struct {
	Name, Address string

	c      *Case
	handle func(connection net.Conn, r *http.Request) (keep bool)
	mu     sync.Mutex
	runs   map[string]int // by request id
}

// StartBackend starts a backend. handle writes the answer to a request and reports whether the connection stays open.
func (c *Case) StartBackend(name string, handle func(net.Conn, *http.Request) bool) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.AtEnd(func() { listener.Close() })
	b := &Backend{Name: name, Address: listener.Addr().String(), c: c, handle: handle, runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(connection)
		}
	}()
	return b, nil
}

func (b *Backend) serve(connection net.Conn) {
	defer connection.Close()
	for reader := bufio.NewReader(connection); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		b.c.Note("backend %s: runs request %s (%s ms left)", b.Name, id, request.Header.Get("Request-Timeout-Ms"))
		if !b.handle(connection, request) {
			return
		}
	}
}

// Runs returns how often the backend has run a request.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}
