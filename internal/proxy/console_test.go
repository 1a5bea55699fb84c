package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"baylock/internal/admin"
	"baylock/internal/backendtest"
	"baylock/internal/discovery"
	"baylock/internal/downstream"
)

// startWithConsole starts a proxy with a console. dir is the directory of the operator state, which several processes of the
// proxy may share. listen is the address for clients, and entries is the cached endpoint list.
func startWithConsole(t *testing.T, dir, listen, discoveryAddress string, entries ...string) *runningProxy {
	t.Helper()
	cfg := testConfig(t, siteText, discoveryAddress, 400, listJSON(1, true, entries...))
	cfg.Name, cfg.Listen, cfg.Console, cfg.TempDir = "n0", listen, "127.0.0.1:0", dir
	return start(t, cfg)
}

// startWithConsoleAndBackends starts a proxy with a console and two backends, which are named a and b on its endpoint list.
func startWithConsoleAndBackends(t *testing.T) (p *runningProxy, a, b *backendtest.Backend) {
	t.Helper()
	a, b = startOKBackend(t), startOKBackend(t)
	return startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr,
		listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)), a, b
}

// dial opens a connection to an address. The connection is closed when the test ends.
func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(backendtest.Timeout))
	return newClient(c)
}

// callConsole makes a console call and returns the status of the response. line is the method and path.
func callConsole(t *testing.T, p *runningProxy, line, body string) int {
	t.Helper()
	c := dial(t, p.ConsoleAddr())
	c.send(t, fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
	resp, _ := c.readResponse(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("%s: the connection stays open: %v", line, err)
	}
	return resp.StatusCode
}

// healthStatus makes a health check and returns the status of the response.
func (p *runningProxy) healthStatus(t *testing.T) int {
	t.Helper()
	c := connect(t, p)
	c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, _ := c.readResponse(t)
	return resp.StatusCode
}

// sendLookups sends n requests one after another and returns how many were served. A request that is rejected, which may
// happen on a busy machine, is sent again.
func (p *runningProxy) sendLookups(t *testing.T, n int) (ok int) {
	t.Helper()
	c := connect(t, p)
	for end := time.Now().Add(backendtest.Timeout); n > 0; {
		c.send(t, lookRequest(fmt.Sprint(time.Now().UnixNano()), 4000))
		resp, _ := c.readResponse(t)
		if resp.StatusCode == 200 {
			ok++
		}
		if resp.StatusCode != 503 || time.Now().After(end) {
			n--
		} else {
			time.Sleep(10 * time.Millisecond)
		}
		if resp.Close {
			c = connect(t, p)
		}
	}
	return ok
}

// Invalid calls get an error status and change nothing. Valid calls may be repeated.
func TestConsoleAcceptsOnlyValidCalls(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	for _, c := range []struct {
		line, body string
		want       int
	}{
		{"GET /_ready", "", 200},
		{"GET /_ready", "a", 400},
		{"GET /_ready?x=1", "", 404},
		{"POST /_ready", "", 405},
		{"GET /_health", "", 404},
		{"OPTIONS *", "", 404},
		{"GET /", "", 404},
		{"GET /_backends/detach", "", 405},
		{"POST /_backends/detach", "", 400},
		{"POST /_backends/detach", "nobody", 404},
		{"POST /_backends/detach", "a b", 404},
		{"POST /_backends/detach", "\x00\xff", 404},
		{"POST /_backends/detach", strings.Repeat("a", admin.MaxBodyBytes+1), 413},
		{"POST /_backends/attach", "nobody", 404},
		{"POST /_backends/attach", "a", 200}, // a is not detached
		{"POST /_backends/detach", "a", 200},
		{"POST /_backends/detach", "a\n", 200},
		{"POST /_backends/attach", "a", 200},
		{"POST /_backends/attach", "a", 200},
		{"POST /_backends/DETACH", "a", 404},
		{"POST /_lameduck/on", "now", 400},
		{"DELETE /_lameduck/on", "", 405},
		{"POST /_lameduck/off", "", 200},
	} {
		t.Run(fmt.Sprintf("%s %.20q", c.line, c.body), func(t *testing.T) {
			if got := callConsole(t, p, c.line, c.body); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
	resp, err := http.Head("http://" + p.ConsoleAddr() + "/_ready")
	if err != nil || resp.StatusCode != 405 {
		t.Errorf("HEAD /_ready: got %v, %v, want 405", resp, err)
	}
	if got := p.healthStatus(t); got != 200 {
		t.Errorf("health check: got %d, want 200", got)
	}
	if state := p.operatorState.Current(); len(state.Detached) != 0 || state.LameDuck {
		t.Errorf("the operator state is %+v, want no detached backend and no lame duck", state)
	}
	for _, text := range []string{"what is this\r\n\r\n", "GET /_ready HTTP/1.1\r\n\r\n", // no Host header
		"POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\na"} {
		c := dial(t, p.ConsoleAddr())
		c.send(t, text)
		if resp, _ := c.readResponse(t); resp.StatusCode != 400 {
			t.Errorf("%.20q: got %s, want 400", text, resp.Status)
		}
	}
}

// Calls are answered within a second despite connections on which no complete call arrives, and the number of connections is
// limited.
func TestConsoleAnswersInTimeDespiteSilentConnections(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	for i := range 4 * admin.MaxConnections {
		c := dial(t, p.ConsoleAddr())
		switch i % 3 {
		case 1:
			_, _ = io.WriteString(c, "GET /_rea") // fails if the connection has been evicted already
		case 2:
			_, _ = io.WriteString(c, "POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		}
	}
	for range 20 {
		start := time.Now()
		if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Errorf("got %d, want 200", got)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if n := p.console.OpenConnections(); n > admin.MaxConnections {
			t.Errorf("%d connections are open", n)
		}
	}
}

// A call succeeds only once the loop has applied it, and fails if that takes longer than admin.OperationTimeout.
func TestConsoleCallFailsWhileLoopIsBlocked(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	release := make(chan struct{})
	p.onLoop(func() { <-release })
	start := time.Now()
	if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 503 {
		t.Errorf("with the loop blocked: got %d, want 503", got)
	}
	if took := time.Since(start); took < admin.OperationTimeout {
		t.Errorf("answered after only %v", took)
	}
	close(release)
	if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
		t.Errorf("with the loop running again: got %d, want 200", got)
	}
}

// Once a detach call has been answered, the backend gets no more requests, whatever discovery lists. One attach call reverts
// two detach calls.
func TestDetachedBackendGetsNoRequests(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	both := []string{listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)}
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", d.addr, both...)
	p.sendLookups(t, 40)
	if a.Requests.Load() == 0 {
		t.Fatal("the backend got no requests before it was detached")
	}
	for range 2 {
		if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Fatalf("detach: got %d, want 200", got)
		}
	}
	before := a.Requests.Load()
	for i, text := range []string{listJSON(5, true, both...),
		listJSON(6, false, listEntry("a", a.Address, discovery.Deleted)), listJSON(7, false, both[0])} {
		d.answers <- text
		backendtest.WaitUntil(t, func() bool {
			return strings.HasPrefix(backendtest.Receive(t, "call", d.calls), fmt.Sprintf("from=%d&", 5+i))
		})
		if ok := p.sendLookups(t, 40); ok != 40 || a.Requests.Load() != before {
			t.Errorf("%s: %d of 40 served, %d requests to the detached backend", text, ok, a.Requests.Load()-before)
		}
	}
	if got := callConsole(t, p, "POST /_backends/attach", "a"); got != 200 {
		t.Fatalf("attach: got %d, want 200", got)
	}
	backendtest.WaitUntil(t, func() bool { p.sendLookups(t, 10); return a.Requests.Load() > before })
}

// In lame duck mode health checks fail at once, and client connections are closed after downstream.LameDuckDelay. Turning
// the mode off restores the service at any time, without a restart.
func TestLameDuckClosesConnectionsUntilTurnedOff(t *testing.T) {
	release := make(chan struct{})
	b := backendtest.Start(t, respondAfter(release))
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr, listEntry("a", b.Address, discovery.Serving))
	idle, held := connect(t, p), connect(t, p)
	idle.send(t, lookRequest("1", 8000))
	idle.readResponse(t)
	held.send(t, lookRequest("h", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 2 })
	for range 3 { // each time lame duck mode is turned off before connections are closed
		if got := callConsole(t, p, "POST /_lameduck/on", ""); got != 200 {
			t.Fatalf("turning lame duck on: got %d, want 200", got)
		}
		if got := p.healthStatus(t); got != 503 {
			t.Errorf("health check: got %d, want 503", got)
		}
		if got := callConsole(t, p, "GET /_ready", ""); got != 200 {
			t.Errorf("readiness: got %d, want 200", got)
		}
		if ok := p.sendLookups(t, 1); ok != 1 {
			t.Error("a new connection is not served")
		}
		if got := callConsole(t, p, "POST /_lameduck/off", ""); got != 200 {
			t.Fatalf("turning lame duck off: got %d, want 200", got)
		}
		if got := p.healthStatus(t); got != 200 {
			t.Errorf("health check: got %d, want 200", got)
		}
	}
	idle.send(t, lookRequest("2", 8000))
	if resp, _ := idle.readResponse(t); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("after lame duck: got %s, close %v, want 200 and an open connection", resp.Status, resp.Close)
	}
	callConsole(t, p, "POST /_lameduck/on", "")
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection stays open: %v", err)
	}
	close(release)
	if resp, _ := held.readResponse(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request: got %s, close %v, want 200 and a closed connection", resp.Status, resp.Close)
	}
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	callConsole(t, p, "POST /_lameduck/off", "")
	if ok := p.sendLookups(t, 3); ok != 3 || p.healthStatus(t) != 200 {
		t.Errorf("after lame duck: %d of 3 served", ok)
	}
	callConsole(t, p, "POST /_lameduck/on", "") // SIGTERM may arrive in lame duck mode
	p.stop()
	if err := backendtest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}

// A connection on which part of a request's head has arrived is not idle. Closing it would lose the request.
func TestLameDuckKeepsConnectionWithPartialHead(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	kept, fresh := connect(t, p), connect(t, p)
	kept.send(t, lookRequest("0", 4000))
	kept.readResponse(t)
	head := lookRequest("1", 4000)
	for _, c := range []*testClient{kept, fresh} {
		c.send(t, head[:20])
		time.Sleep(20 * time.Millisecond)
	}
	callConsole(t, p, "POST /_lameduck/on", "")
	time.Sleep(downstream.LameDuckDelay + downstream.NewConnectionWindow + 200*time.Millisecond)
	for i, c := range []*testClient{kept, fresh} {
		c.send(t, strings.Replace(head, "Request-Id: 1", fmt.Sprint("Request-Id: s", i), 1)[20:])
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("connection %d: got %s, close %v, want 200 and a closed connection", i, resp.Status, resp.Close)
		}
	}
}
