package proxy

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"baylock/internal/clientconn"
	"baylock/internal/discovery"
)

// one is the one connection of a client that the proxy has.
func (p *running) one(t *testing.T) *clientconn.Conn {
	t.Helper()
	connections := p.clients.Connections()
	if len(connections) != 1 {
		t.Fatalf("%d connections of clients", len(connections))
	}
	return connections[0]
}

// At the cutoff the loop fails what is still open, and 20 ms later the connections were closed, on a busy core ahead of
// the answers. Here the cutoff has passed long before the answer comes.
func TestWhatHasBeenTakenIsAnsweredAfterTheCutoff(t *testing.T) {
	release := make(chan struct{})
	p, b := serving(t, holds(release))
	c, half := connect(t, p), connect(t, p)
	half.send(t, look("1", 8000)[:30])
	c.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 1 && p.clients.Stats().Open == 2 })
	ended := make(chan struct{})
	go func() { defer close(ended); p.server.Shutdown(time.Now()) }()
	wait(t, "end of accepting", p.server.ServeDone())
	close(release)
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
		t.Errorf("got %s, close %v", resp.Status, resp.Close)
	}
	c.Close()
	wait(t, "end of the service beside half a head", ended)
}

// The first byte of the next request may be read while the answer before it is still out; then nothing is left to read
// on the connection, and it has heard nothing since it fell idle.
func TestOneByteOfARequestIsNoIdleConnection(t *testing.T) {
	release := make(chan struct{})
	p, b := serving(t, holds(release))
	c := connect(t, p)
	c.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 1 })
	c.send(t, look("2", 8000)[:1])
	conn := p.one(t)
	waitUntil(t, conn.RequestStarted)
	close(release)
	c.answer(t)
	waitUntil(t, func() bool { return p.clients.Stats().Idle == 1 })
	if others, taken := p.clients.CloseIdle(0, 0); others != 1 || taken != 0 {
		t.Errorf("%d others, %d taken", others, taken)
	}
	c.send(t, look("2", 8000)[1:])
	if resp, _ := c.answer(t); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// gatedConn holds what it has read until the gate lets it through.
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

// gatedListener stands in front of a listener; each part may be nil.
type gatedListener struct {
	net.Listener
	gate   func(net.Conn) net.Conn // takes what was accepted
	looked func()                  // told when somebody looks at the socket
	closed func()                  // told of the close
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
	if l.closed != nil {
		l.closed()
	}
	return err
}

func (l gatedListener) SyscallConn() (syscall.RawConn, error) {
	if l.looked != nil {
		l.looked()
	}
	return l.Listener.(syscall.Conn).SyscallConn()
}

// A request that has been read, but of which nobody knows yet, on a connection that is closed as idle: its client sends
// it once more elsewhere, so it may not run from here.
func TestARequestThatCrossesAnIdleCloseGoesNoFurther(t *testing.T) {
	b := startBackend(t, says(served, true))
	read, proceed := make(chan struct{}), make(chan struct{})
	p := startSite(t, func(p *Proxy) {
		p.clients.Listener = gatedListener{Listener: p.clients.Listener, gate: func(c net.Conn) net.Conn {
			return gatedConn{c.(*net.TCPConn), func() { close(read); <-proceed }}
		}}
	}, listText(1, true, listed("a", b.addr, discovery.Serving)))
	c := connect(t, p)
	c.send(t, shortPost("1"))
	wait(t, "read", read)
	if others, _ := p.clients.CloseIdle(0, 0); others != 0 {
		t.Errorf("%d connections were left open", others)
	}
	close(proceed)
	if _, err := c.r.ReadByte(); err == nil {
		t.Error("an answer came on a closed connection")
	}
	onlySent(t, p, b, 0)
}

// A connection whose handshake is done stands in the listener's queue. To close the listener resets it.
func TestQueuedConnectionsAreTakenBeforeTheListenerCloses(t *testing.T) {
	b := startBackend(t, says(served, true))
	accepted, proceed := make(chan struct{}, 2), make(chan struct{})
	seen := make(chan string, 1000)
	p := startSite(t, func(p *Proxy) {
		p.clients.Listener = gatedListener{Listener: p.clients.Listener,
			gate:   func(c net.Conn) net.Conn { accepted <- struct{}{}; <-proceed; return c },
			looked: func() { seen <- "look" }, closed: func() { seen <- "close" }}
	}, listText(1, true, listed("a", b.addr, discovery.Serving)))
	first := connect(t, p)
	wait(t, "accept", accepted)
	second := connect(t, p) // in the queue
	go p.server.Shutdown(time.Now().Add(patience))
	wait(t, "look at the queue or close", seen)
	close(proceed)
	for i, c := range []*client{first, second} {
		c.send(t, shortPost(string(rune('1'+i))))
		if resp, _ := c.answer(t); resp.StatusCode != 200 {
			t.Errorf("connection %d: got %s", i, resp.Status)
		}
	}
}

// brokenListener fails for good once it is told to.
type brokenListener struct {
	net.Listener
	fail <-chan struct{}
}

var errBroken = errors.New("broken for good")

func (l brokenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	select {
	case <-l.fail:
		if err == nil {
			c.Close()
		}
		return nil, errBroken
	default:
		return c, err
	}
}

// A listener that failed for good ended the process with all that it had taken.
func TestAFailedListenerCostsNoAnswer(t *testing.T) {
	release, fail := make(chan struct{}), make(chan struct{})
	b := startBackend(t, holds(release))
	p := startSite(t, func(p *Proxy) {
		p.clients.Listener = brokenListener{p.clients.Listener, fail}
	}, listText(1, true, listed("a", b.addr, discovery.Serving)))
	c := connect(t, p)
	c.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 1 })
	close(fail)
	connect(t, p)
	wait(t, "end of accepting", p.server.ServeDone())
	waitUntil(t, func() bool { return p.server.State().Draining || len(p.done) > 0 })
	close(release)
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s", resp.Status)
	}
	c.Close()
	if err := wait(t, "end of Run", p.done); !errors.Is(err, errBroken) {
		t.Errorf("Run ended with %v", err)
	}
}

// A caller with less than a millisecond left says 0. That is no fault of its: it is refused, and its connection stays.
func TestNoTimeLeftIsNoFault(t *testing.T) {
	p, b := serving(t, says(served, true))
	c := connect(t, p)
	for _, id := range []string{"1", "2"} {
		c.send(t, look(id, 0))
		if resp, _ := c.answer(t); resp.StatusCode != 503 || resp.Close {
			t.Errorf("got %s, close %v", resp.Status, resp.Close)
		}
	}
	if n := b.requests.Load(); n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}
