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

// startWithConsole starts a proxy with a console, in a folder that it may share with others; listen is the clients'
// address.
func startWithConsole(t *testing.T, dir, listen, watched string, entries ...string) *runningProxy {
	t.Helper()
	cfg := testConfig(t, siteText, watched, 400, listJSON(1, true, entries...))
	cfg.Name, cfg.Listen, cfg.Console, cfg.TempDir = "n0", listen, "127.0.0.1:0", dir
	return start(t, cfg)
}

// startWithOperators starts a proxy with a console and two backends.
func startWithOperators(t *testing.T) (p *runningProxy, a, b *backendtest.Backend) {
	t.Helper()
	a, b = startOKBackend(t), startOKBackend(t)
	return startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr,
		listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)), a, b
}

// dial opens a connection to an address; it ends with the test.
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

// callConsole makes a console call and returns the answer's status.
func callConsole(t *testing.T, p *runningProxy, line, body string) int {
	t.Helper()
	c := dial(t, p.ConsoleAddr())
	c.send(t, fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
	resp, _ := c.readResponse(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("%s: the connection stays: %v", line, err)
	}
	return resp.StatusCode
}

func (p *runningProxy) health(t *testing.T) int {
	t.Helper()
	c := connect(t, p)
	c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, _ := c.readResponse(t)
	return resp.StatusCode
}

// serveLookups sends n requests on one connection and returns how many were served. One that is rejected, as may happen on a
// busy machine, is sent again.
func (p *runningProxy) serveLookups(t *testing.T, n int) (ok int) {
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

// Invalid calls are answered with an error and change nothing; valid ones may be repeated.
func TestConsoleAnswersCallsWithTheirStatus(t *testing.T) {
	p, _, _ := startWithOperators(t)
	for _, c := range []struct {
		line, body string
		want       int
	}{
		{"GET /_ready", "", 200},
		{"GET /_ready", "a", 400},
		{"GET /_ready?x=1", "", 404},
		{"POST /_ready", "", 405},
		{"GET /_health", "", 404},
		{"GET /", "", 404},
		{"GET /_backends/detach", "", 405},
		{"POST /_backends/detach", "", 400},
		{"POST /_backends/detach", "nobody", 404},
		{"POST /_backends/detach", "a b", 404},
		{"POST /_backends/detach", "\x00\xff", 404},
		{"POST /_backends/detach", strings.Repeat("a", admin.MaxBodyBytes+1), 413},
		{"POST /_backends/attach", "nobody", 404},
		{"POST /_backends/attach", "a", 200}, // it is not detached
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
		t.Errorf("HEAD /_ready: got %v, %v", resp, err)
	}
	if got := p.health(t); got != 200 {
		t.Errorf("health is %d", got)
	}
	if state := p.operatorState.Current(); len(state.Detached) != 0 || state.LameDuck {
		t.Errorf("operator state %+v", state)
	}
	for _, text := range []string{"what is this\r\n\r\n", "GET /_ready HTTP/1.1\r\n\r\n", // no Host
		"POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\na"} {
		c := dial(t, p.ConsoleAddr())
		c.send(t, text)
		if resp, _ := c.readResponse(t); resp.StatusCode != 400 {
			t.Errorf("%.20q: got %s", text, resp.Status)
		}
	}
}

// Connections without a complete call delay no other caller beyond its second, and their number is bounded.
func TestConsoleAnswersInTimeDespiteSilentConnections(t *testing.T) {
	p, _, _ := startWithOperators(t)
	for i := range 4 * admin.MaxConnections {
		c := dial(t, p.ConsoleAddr())
		switch i % 3 {
		case 1:
			_, _ = io.WriteString(c, "GET /_rea") // it may have been closed to make room
		case 2:
			_, _ = io.WriteString(c, "POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		}
	}
	for range 20 {
		start := time.Now()
		if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Errorf("got %d", got)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if n := p.console.OpenConnections(); n > admin.MaxConnections {
			t.Errorf("%d connections", n)
		}
	}
}

// The answer to a call is a success only once the loop has carried it out, and an error when that takes too long.
func TestConsoleCallFailsWhileLoopIsBlocked(t *testing.T) {
	p, _, _ := startWithOperators(t)
	release := make(chan struct{})
	p.onLoop(func() { <-release })
	start := time.Now()
	if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 503 {
		t.Errorf("with the loop held: got %d", got)
	}
	if took := time.Since(start); took < admin.OperationTimeout {
		t.Errorf("after %v", took)
	}
	close(release)
	if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
		t.Errorf("then: got %d", got)
	}
}

// Once a detach is answered the backend gets no request, whatever discovery lists; one attach reverts two detaches.
func TestDetachedBackendGetsNoRequests(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	both := []string{listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)}
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", d.addr, both...)
	p.serveLookups(t, 40)
	if a.Requests.Load() == 0 {
		t.Fatal("it was not in use")
	}
	for range 2 {
		if got := callConsole(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Fatalf("detach: %d", got)
		}
	}
	came := a.Requests.Load()
	for i, text := range []string{listJSON(5, true, both...),
		listJSON(6, false, listEntry("a", a.Address, discovery.Deleted)), listJSON(7, false, both[0])} {
		d.answers <- text
		backendtest.WaitUntil(t, func() bool {
			return strings.HasPrefix(backendtest.Receive(t, "call", d.calls), fmt.Sprintf("from=%d&", 5+i))
		})
		if ok := p.serveLookups(t, 40); ok != 40 || a.Requests.Load() != came {
			t.Errorf("%s: %d served, %d requests to it", text, ok, a.Requests.Load()-came)
		}
	}
	if got := callConsole(t, p, "POST /_backends/attach", "a"); got != 200 {
		t.Fatalf("attach: %d", got)
	}
	backendtest.WaitUntil(t, func() bool { p.serveLookups(t, 10); return a.Requests.Load() > came })
}

// In lame duck health checks fail at once, and client connections are closed after a while. Turning it off restores
// service at any time, without a restart.
func TestLameDuckClosesConnectionsUntilTurnedOff(t *testing.T) {
	release := make(chan struct{})
	b := backendtest.Start(t, respondAfter(release))
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr, listEntry("a", b.Address, discovery.Serving))
	idle, held := connect(t, p), connect(t, p)
	idle.send(t, lookRequest("1", 8000))
	idle.readResponse(t)
	held.send(t, lookRequest("h", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 2 })
	for range 3 { // on, and off in the middle
		if got := callConsole(t, p, "POST /_lameduck/on", ""); got != 200 {
			t.Fatalf("on: %d", got)
		}
		if got := p.health(t); got != 503 {
			t.Errorf("health is %d", got)
		}
		if got := callConsole(t, p, "GET /_ready", ""); got != 200 {
			t.Errorf("ready is %d", got)
		}
		if ok := p.serveLookups(t, 1); ok != 1 {
			t.Error("a new connection is not served")
		}
		if got := callConsole(t, p, "POST /_lameduck/off", ""); got != 200 {
			t.Fatalf("off: %d", got)
		}
		if got := p.health(t); got != 200 {
			t.Errorf("health is %d", got)
		}
	}
	idle.send(t, lookRequest("2", 8000))
	if resp, _ := idle.readResponse(t); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("after off: got %s, close %v", resp.Status, resp.Close)
	}
	callConsole(t, p, "POST /_lameduck/on", "")
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection stays open: %v", err)
	}
	close(release)
	if resp, _ := held.readResponse(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request: got %s, close %v", resp.Status, resp.Close)
	}
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	callConsole(t, p, "POST /_lameduck/off", "")
	if ok := p.serveLookups(t, 3); ok != 3 || p.health(t) != 200 {
		t.Errorf("after off: %d of 3 served", ok)
	}
	callConsole(t, p, "POST /_lameduck/on", "") // SIGTERM in lame duck
	p.stop()
	if err := backendtest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}

// A connection on which part of a head has arrived is not idle: closing it would reset the request.
func TestLameDuckKeepsConnectionWithPartialHead(t *testing.T) {
	p, _, _ := startWithOperators(t)
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
			t.Errorf("connection %d: got %s, close %v", i, resp.Status, resp.Close)
		}
	}
}
