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

// disconnect is a way in which a client disconnects.
type disconnect struct {
	request func(id string) string // that it has sent by then
	leave   func(t *testing.T, c *testClient)
}

var disconnects = map[string]disconnect{
	"closes":                      {shortPost, func(_ *testing.T, c *testClient) { c.Close() }},
	"resets":                      {shortPost, resetConnection},
	"half-closes":                 {shortPost, func(_ *testing.T, c *testClient) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"half-closes during the body": {longPost, func(_ *testing.T, c *testClient) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"closes after more bytes":     {shortPost, closeAfterMoreBytes},
	"resets after more bytes":     {shortPost, func(t *testing.T, c *testClient) { c.send(t, "GET /"); resetConnection(t, c) }},
	"closes during the body":      {longPost, func(_ *testing.T, c *testClient) { c.Close() }},
	"resets during the body":      {longPost, resetConnection},
	"closes after part of the body": {longPost, func(t *testing.T, c *testClient) {
		c.send(t, distinctText(1000))
		c.Close()
	}},
}

func resetConnection(t *testing.T, c *testClient) {
	t.Helper()
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
}

func closeAfterMoreBytes(t *testing.T, c *testClient) {
	t.Helper()
	c.send(t, "GET /")
	c.Close()
}

// waitForConnectedClients waits until only n clients have not disconnected.
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

// Nothing is sent for a client that has gone while its request waited, wherever that was. net/http does not notice one that
// goes behind bytes which nobody reads.
func TestNothingIsSentForGoneClient(t *testing.T) {
	for phase, test := range map[string]func(*testing.T, disconnect){
		"before the read":         testGoneBeforeRead,
		"during a slow dial":      testGoneDuringDial,
		"between attempts":        testGoneBetweenAttempts,
		"in the balancer's queue": testGoneInQueue,
	} {
		for how, d := range disconnects {
			t.Run(phase+", "+how, func(t *testing.T) {
				t.Parallel()
				test(t, d)
			})
		}
	}
}

// disconnectDuringDial sends a request and disconnects once its attempt has begun to dial.
func disconnectDuringDial(t *testing.T, p *runningProxy, d disconnect, dialing <-chan struct{}) {
	t.Helper()
	c := connect(t, p)
	c.send(t, d.request("1"))
	backendtest.Receive(t, "dial", dialing)
	d.leave(t, c)
	waitForConnectedClients(t, p.Proxy, 0)
}

func testGoneBeforeRead(t *testing.T, d disconnect) {
	t.Helper()
	b := startOKBackend(t)
	gone, accepted := make(chan struct{}), make(chan struct{})
	p := startAdjustedProxy(t, func(p *Proxy) {
		p.clients.Listener = gatedListener{Listener: p.clients.Listener, gate: func(c net.Conn) net.Conn {
			<-gone
			for !socket.PeerClosed(c) {
				time.Sleep(time.Millisecond)
			}
			close(accepted)
			return c
		}}
	}, servingList(b))
	c := connect(t, p)
	c.send(t, d.request("1"))
	d.leave(t, c)
	close(gone)
	backendtest.Receive(t, "accept", accepted)
	checkBegunRequests(t, p, b, 0)
}

func testGoneDuringDial(t *testing.T, d disconnect) {
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
	checkBegunRequests(t, p, b, 0)
}

func testGoneBetweenAttempts(t *testing.T, d disconnect) {
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
	checkBegunRequests(t, p, b, 0)
}

func testGoneInQueue(t *testing.T, d disconnect) {
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
	d.leave(t, c)
	waitForConnectedClients(t, p.Proxy, 1)
	close(release)
	if resp, _ := first.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("the first: got %s", resp.Status)
	}
	first.Close()
	checkBegunRequests(t, p, b, 1)
}

func TestDisconnectCancelsAttempt(t *testing.T) {
	arrived := make(chan struct{}, 1)
	gone := make(chan struct{}, 1)
	p, _ := startProxyAndBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		arrived <- struct{}{}
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		gone <- struct{}{}
		return false
	})
	c := connect(t, p)
	c.send(t, lookRequest("1", 8000))
	backendtest.Receive(t, "request", arrived)
	c.Close()
	backendtest.Receive(t, "end of the attempt", gone)
	backendtest.WaitUntil(t, func() bool { // nothing is left of it
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

// A client that disconnects while it writes or reads a long body leaves nothing behind, and the backend's connection is
// closed. One that only pauses gets an error.
func TestDisconnectDuringLongBodyLeavesNothing(t *testing.T) {
	stop := make(chan struct{})
	b := backendtest.StartRaw(t, func(w io.Writer, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, distinctText(100_000))
		<-stop
		return false
	})
	defer close(stop)
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
		t.Errorf("a client that pauses: got %s", resp.Status)
	}
	backendtest.Receive(t, "end of the backend's connection", b.Closed)
	waitUntilIdle(t, p)
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests arrived completely", n)
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
