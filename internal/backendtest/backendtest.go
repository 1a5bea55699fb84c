// Package backendtest provides test backends on loopback sockets, with full control over the bytes of their responses.
package backendtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout limits how long a test waits for an event that must happen.
const Timeout = 20 * time.Second

// OK is a complete response with the body "ok".
const OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

const maxConnections = 1000 // per backend; capacity of the Closed channel

// Backend is a backend on a loopback socket.
type Backend struct {
	Address         string
	Requests        atomic.Int32  // requests that were received completely; not counted by StartRaw
	RequestsStarted atomic.Int32  // requests of which at least one byte was received
	Connections     atomic.Int32  // accepted connections
	Closed          chan struct{} // gets one value for each connection that has ended
}

// Responder writes the response to the n-th request and reports whether the connection stays open.
type Responder func(w io.Writer, r *http.Request, n int) (keepAlive bool)

// Start starts a backend that responds to complete requests. It stops when the test ends.
func Start(t *testing.T, respond Responder) *Backend {
	t.Helper()
	var b *Backend
	ready := make(chan struct{}) // closed when b is set
	b = StartRaw(t, func(w io.Writer, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		<-ready
		return respond(w, r, int(b.Requests.Add(1)))
	})
	close(ready)
	return b
}

// StartRaw starts a backend whose handler reads request bodies itself. It stops when the test ends.
func StartRaw(t *testing.T, handle func(w io.Writer, r *http.Request) (keepAlive bool)) *Backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &Backend{Address: l.Addr().String(), Closed: make(chan struct{}, maxConnections)}
	go b.accept(l, handle)
	return b
}

func (b *Backend) accept(l net.Listener, handle func(w io.Writer, r *http.Request) bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.Connections.Add(1)
		go func() {
			defer func() { c.Close(); b.Closed <- struct{}{} }()
			b.serve(c, handle)
		}()
	}
}

func (b *Backend) serve(c net.Conn, handle func(w io.Writer, r *http.Request) bool) {
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		b.RequestsStarted.Add(1)
		request, err := http.ReadRequest(reader)
		if err != nil || !handle(c, request) {
			return
		}
	}
}

// Respond returns a Responder that writes the given text.
func Respond(text string, keepAlive bool) Responder {
	return func(w io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, text)
		return keepAlive
	}
}

// ResetOnClose makes the close of a TCP connection reset it. It may be called on any goroutine.
func ResetOnClose(t *testing.T, connection io.Writer) {
	t.Helper()
	if err := connection.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
}

// Hang returns a Responder that writes nothing and blocks until the test ends.
func Hang(t *testing.T) Responder {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return func(io.Writer, *http.Request, int) bool { <-ended; return false }
}

// Receive returns the next value of a channel. It fails the test after Timeout; what names the missing event.
func Receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// WaitUntil polls a condition until it holds. It fails the test after Timeout.
func WaitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true in time")
		}
	}
}

// AppendNumbered appends a format with the numbers 0, 1, 2 and so on to start, until the text has at least size bytes.
func AppendNumbered(start, format string, size int) string {
	text := []byte(start)
	for i := 0; len(text) < size; i++ {
		text = fmt.Appendf(text, format, i)
	}
	return string(text)
}

// LiveMemory returns the bytes of the heap and the stacks that are in use after a garbage collection.
func LiveMemory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
