package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/socket"
)

// disconnect is a way in which a client may disconnect.
type disconnect struct {
	request func(id string) string // returns what the client sends before it disconnects
	perform func(t *testing.T, c *testClient)
}

var disconnects = map[string]disconnect{
	"closes":                      {shortPost, func(_ *testing.T, c *testClient) { c.Close() }},
	"resets":                      {shortPost, resetConnection},
	"half-closes":                 {shortPost, func(_ *testing.T, c *testClient) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"half-closes during the body": {incompletePost, func(_ *testing.T, c *testClient) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"closes after more bytes":     {shortPost, closeAfterMoreBytes},
	"resets after more bytes":     {shortPost, func(t *testing.T, c *testClient) { c.send(t, "GET /"); resetConnection(t, c) }},
	"closes during the body":      {incompletePost, func(_ *testing.T, c *testClient) { c.Close() }},
	"resets during the body":      {incompletePost, resetConnection},
	"closes after part of the body": {incompletePost, func(t *testing.T, c *testClient) {
		c.send(t, distinctText(1000))
		c.Close()
	}},
}

func resetConnection(t *testing.T, c *testClient) {
	t.Helper()
	backendtest.ResetOnClose(t, c.Conn)
	c.Close()
}

func closeAfterMoreBytes(t *testing.T, c *testClient) {
	t.Helper()
	c.send(t, "GET /")
	c.Close()
}

// waitForConnectedClients waits until exactly n clients are connected. A half-closed connection does not count.
func waitForConnectedClients(t *testing.T, p *Proxy, n int) {
	t.Helper()
	backendtest.WaitUntil(t, func() bool {
		connected := 0
		for _, c := range p.clients.Connections() {
			if !c.ClientGone() {
				connected++
			}
		}
		return connected == n
	})
}

// A request is not sent to a backend if its client disconnects first, whatever the request was waiting for. net/http does
// not detect a disconnect while the connection holds unread bytes.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	for phase, test := range map[string]func(*testing.T, disconnect){
		"before the read":         testDisconnectBeforeRead,
		"during a slow dial":      testDisconnectDuringDial,
		"between attempts":        testDisconnectBetweenAttempts,
		"in the balancer's queue": testDisconnectInQueue,
	} {
		for how, d := range disconnects {
			t.Run(phase+", "+how, func(t *testing.T) {
				t.Parallel()
				test(t, d)
			})
		}
	}
}

// disconnectDuringDial sends a request and disconnects once its attempt is dialing.
func disconnectDuringDial(t *testing.T, p *runningProxy, d disconnect, dialing <-chan struct{}) {
	t.Helper()
	c := connect(t, p)
	c.send(t, d.request("1"))
	backendtest.Receive(t, "dial", dialing)
	d.perform(t, c)
	waitForConnectedClients(t, p.Proxy, 0)
}

func testDisconnectBeforeRead(t *testing.T, d disconnect) {
	t.Helper()
	b := startOKBackend(t)
	disconnected, accepted := make(chan struct{}), make(chan struct{})
	p := startAdjustedProxy(t, func(p *Proxy) {
		p.clients.Listener = gatedListener{Listener: p.clients.Listener, gate: func(c net.Conn) net.Conn {
			<-disconnected
			for !socket.PeerClosed(c) {
				time.Sleep(time.Millisecond)
			}
			close(accepted)
			return c
		}}
	}, servingList(b))
	c := connect(t, p)
	c.send(t, d.request("1"))
	d.perform(t, c)
	close(disconnected)
	backendtest.Receive(t, "accept", accepted)
	checkRequestsStarted(t, p, b, 0)
}

func testDisconnectDuringDial(t *testing.T, d disconnect) {
	t.Helper()
	b := startOKBackend(t)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	p := startAdjustedProxy(t, func(p *Proxy) {
		dial := p.loop.pool.DialContext
		p.loop.pool.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(context.Background(), network, addr)
			close(dialing)
			<-proceed
			return c, err
		}
	}, servingList(b))
	disconnectDuringDial(t, p, d, dialing)
	close(proceed)
	checkRequestsStarted(t, p, b, 0)
}

func testDisconnectBetweenAttempts(t *testing.T, d disconnect) {
	t.Helper()
	b := startOKBackend(t)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	first := true
	p := startAdjustedProxy(t, func(p *Proxy) {
		dial := p.loop.pool.DialContext
		p.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if !first {
				return dial(ctx, network, addr)
			}
			first = false
			close(dialing)
			<-proceed
			return nil, net.ErrClosed
		}
	}, servingList(b, b))
	disconnectDuringDial(t, p, d, dialing)
	close(proceed)
	checkRequestsStarted(t, p, b, 0)
}

func testDisconnectInQueue(t *testing.T, d disconnect) {
	t.Helper()
	release := make(chan struct{})
	b := backendtest.Start(t, respondAfter(release))
	p := startAdjustedProxy(t, func(*Proxy) {}, servingList(b),
		`"name":"post"`, `"by_arrival":true,"name":"post"`)
	first := connect(t, p)
	first.send(t, shortPost("h"))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	c := connect(t, p)
	c.send(t, d.request("1"))
	backendtest.WaitUntil(t, func() bool { return p.hasRequest("1") })
	d.perform(t, c)
	waitForConnectedClients(t, p.Proxy, 1)
	close(release)
	if resp, _ := first.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("first request: got %s, want 200", resp.Status)
	}
	first.Close()
	checkRequestsStarted(t, p, b, 1)
}

func TestDisconnectCancelsAttempt(t *testing.T) {
	arrived := make(chan struct{}, 1)
	canceled := make(chan struct{}, 1)
	p, _ := startProxyAndBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		arrived <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		canceled <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	backendtest.Receive(t, "request", arrived)
	c.Close()
	backendtest.Receive(t, "end of the attempt", canceled)
	backendtest.WaitUntil(t, func() bool { // the loop has removed the request
		remaining := make(chan int, 1)
		p.onLoop(func() { remaining <- len(p.loop.requests) })
		return backendtest.Receive(t, "answer of the loop", remaining) == 0
	})
}

func TestDisconnectDuringShortBodyForwardsNothing(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	c := connect(t, p)
	c.send(t, postHead("3", "Content-Length: 9")+"abc")
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Open == 1 })
	c.Close()
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// If a client disconnects while it sends or reads a long body, everything that its request used is released, and the
// connection to the backend is closed. A client that stops sending without disconnecting gets an error.
func TestDisconnectDuringLongBodyReleasesResources(t *testing.T) {
	release := make(chan struct{})
	b := backendtest.StartRaw(t, func(w io.Writer, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, distinctText(100_000))
		<-release
		return false
	})
	defer close(release)
	p := startProxyWithBackend(t, b)
	for i := range 3 {
		c := connect(t, p)
		c.send(t, postHead(fmt.Sprint("u", i), "Content-Length: 300000")+distinctText(100_000))
		backendtest.WaitUntil(t, func() bool { return int(b.RequestsStarted.Load()) == i+1 })
		c.Close()
		backendtest.Receive(t, "end of the backend's connection", b.Closed)
		waitUntilIdle(t, p)
	}
	c := connect(t, p)
	c.send(t, postHead("stops", "Content-Length: 300000")+distinctText(100_000))
	if resp, _ := c.readResponse(t); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a client that stopped sending: got %s, want 400 and a closed connection", resp.Status)
	}
	backendtest.Receive(t, "end of the backend's connection", b.Closed)
	waitUntilIdle(t, p)
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests arrived completely, want none", n)
	}
	c = connect(t, p)
	c.send(t, postHead("d", "Content-Length: 0"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 50_000); err != nil {
		t.Fatal(err)
	}
	c.Close()
	waitUntilIdle(t, p)
}
