package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/discovery"
)

// startWithFewConnections starts a proxy with a low limit on client connections. It also returns this limit.
func startWithFewConnections(t *testing.T, reply backendtest.Responder) (p *runningProxy, maxConnections int) {
	t.Helper()
	b := backendtest.Start(t, reply)
	p = startProxy(t, startDiscovery(t).addr, 80, servingList(b))
	return p, p.clients.Stats().Max
}

// Idle and unused connections are evicted to admit new connections, so that no client with a request is turned away.
func TestProxyEvictsConnectionsWithoutRequests(t *testing.T) {
	p, maxConnections := startWithFewConnections(t, backendtest.Respond(backendtest.OK, true))
	for i := range maxConnections {
		c := connect(t, p)
		if i%2 == 0 {
			c.send(t, lookRequest(fmt.Sprint("i", i), 4000))
			c.readResponse(t)
		}
	}
	for i := range 2 * maxConnections {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint("n", i), 4000))
		if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("new client %d: got %s, want 200", i, resp.Status)
		}
		if n := p.clients.Stats().Open; n > maxConnections {
			t.Fatalf("%d connections are open, the limit is %d", n, maxConnections)
		}
	}
}

// A connection with an open request is never evicted. If all connections have one, a new connection is closed.
func TestProxyKeepsConnectionsWithOpenRequests(t *testing.T) {
	release := make(chan struct{})
	p, maxConnections := startWithFewConnections(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	var clients []*testClient
	for i := range maxConnections {
		c := connect(t, p)
		c.send(t, lookRequest(fmt.Sprint(i), 8000))
		clients = append(clients, c)
	}
	backendtest.WaitUntil(t, func() bool {
		stats := p.clients.Stats()
		return stats.Open == maxConnections && stats.Unused == 0
	})
	extra := connect(t, p)
	if _, err := extra.r.ReadByte(); err == nil {
		t.Error("a connection over the limit got a response")
	}
	close(release)
	for i, c := range clients {
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
			t.Errorf("request %d: got %s, want 200", i, resp.Status)
		}
	}
}

// While discovery is down, idle clients use up all client connections, and more clients connect. The proxy still serves
// requests, health checks and console calls, and it applies the endpoint list that discovery sends once it has recovered.
func TestProxyServesDespiteIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	var up atomic.Bool
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, listJSON(2, true, listEntry("a", a.Address, discovery.Draining), listEntry("b", b.Address, discovery.Serving)))
		time.Sleep(10 * time.Millisecond)
	}))
	defer discoveryServer.Close()
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", strings.TrimPrefix(discoveryServer.URL, "http://"),
		listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving))
	maxConnections := p.clients.Stats().Max
	for i := range 2 * maxConnections {
		switch c := connect(t, p); i % 3 {
		case 0: // sends nothing
		case 1:
			c.send(t, "GET /lo")
		case 2:
			c.send(t, lookRequest(time.Now().String(), 4000))
			c.readResponse(t)
		}
	}
	for _, r := range []struct {
		what string
		got  int
	}{{"health check", p.healthStatus(t)}, {"console", callConsole(t, p, "GET /_ready", "")}} {
		if r.got != http.StatusOK {
			t.Errorf("%s: got %d, want 200", r.what, r.got)
		}
	}
	if ok := p.sendLookups(t, 20); ok != 20 {
		t.Errorf("%d of 20 served", ok)
	}
	up.Store(true)
	backendtest.WaitUntil(t, func() bool { _, ok := p.loop.pool.Find("a"); return !ok })
	before := a.Requests.Load()
	if ok := p.sendLookups(t, 20); ok != 20 || a.Requests.Load() != before {
		t.Errorf("after discovery recovered: %d of 20 served, %d requests to the draining backend", ok, a.Requests.Load()-before)
	}
	if n := p.clients.Stats().Open; n > maxConnections {
		t.Errorf("%d connections are open, the limit is %d", n, maxConnections)
	}
}

// When another process of the proxy starts, each process gets half of the file descriptors. The first process then closes
// the idle connections that exceed its new limit.
func TestHalvedLimitsCloseIdleConnections(t *testing.T) {
	p, maxConnections := startWithFewConnections(t, backendtest.Respond(backendtest.OK, true))
	for range maxConnections {
		c := connect(t, p)
		c.send(t, lookRequest(time.Now().String(), 4000))
		c.readResponse(t)
	}
	p.limits.setAlone(false)
	if n, maxConnections := p.clients.Stats().Open, p.clients.Stats().Max; n > maxConnections {
		t.Errorf("%d connections are open, the limit is %d", n, maxConnections)
	}
}

// The first byte of the next request may be read while the previous response is still being written. When the connection
// then becomes idle, it has no unread bytes and none have arrived since, but closing it would still lose the request.
func TestCloseIdleKeepsConnectionWithOneByteOfRequest(t *testing.T) {
	release := make(chan struct{})
	p, b := startProxyAndBackend(t, respondAfter(release))
	c := connect(t, p)
	c.send(t, lookRequest("h", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	c.send(t, lookRequest("2", 8000)[:1])
	conn := p.onlyConnection(t)
	backendtest.WaitUntil(t, conn.RequestStarted)
	close(release)
	c.readResponse(t)
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Idle == 1 })
	if remaining, active := p.clients.CloseIdle(0, 0); remaining != 1 || active != 0 {
		t.Errorf("%d connections remain, %d of them active, want 1 and 0", remaining, active)
	}
	c.send(t, lookRequest("2", 8000)[1:])
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s, want 200", resp.Status)
	}
}

// A connection may be closed as idle after a request has been read from it, but before net/http has reported the request.
// The client sends the request again on another connection, so this proxy must not forward it.
func TestRequestRacingIdleCloseIsNotForwarded(t *testing.T) {
	b := startOKBackend(t)
	read, proceed := make(chan struct{}), make(chan struct{})
	p := startAdjustedProxy(t, func(p *Proxy) {
		p.clients.Listener = gatedListener{Listener: p.clients.Listener, gate: func(c net.Conn) net.Conn {
			return gatedConn{c.(*net.TCPConn), func() { close(read); <-proceed }}
		}}
	}, servingList(b))
	c := connect(t, p)
	c.send(t, shortPost("1"))
	backendtest.Receive(t, "read", read)
	if remaining, _ := p.clients.CloseIdle(0, 0); remaining != 0 {
		t.Errorf("%d connections were left open", remaining)
	}
	close(proceed)
	if _, err := c.r.ReadByte(); err == nil {
		t.Error("got a response on a closed connection")
	}
	checkRequestsStarted(t, p, b, 0)
}
