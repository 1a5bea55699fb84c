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
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/downstream"
	"baylock/internal/settings"
)

// startWithConsole starts a proxy with a console, in a folder that it may share with others; listen is the clients'
// address.
func startWithConsole(t *testing.T, dir, listen, watched string, entries ...string) *running {
	t.Helper()
	site, err := settings.Decode([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	cfg := config.Config{Name: "n0", Listen: listen, Console: "127.0.0.1:0", TempDir: dir, Discovery: watched, Seed: 7,
		Limits: config.Limits{Sockets: 400}, Site: site}
	if cfg.Known, err = discovery.ParseList([]byte(listText(1, true, entries...))); err != nil {
		t.Fatal(err)
	}
	return start(t, cfg)
}

// operated starts a proxy with a console and two backends.
func operated(t *testing.T) (p *running, a, b *fakeBackend) {
	t.Helper()
	a, b = startBackend(t, says(served, true)), startBackend(t, says(served, true))
	return startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr,
		listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)), a, b
}

// dial opens a connection to an address; it ends with the test.
func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return newClient(c)
}

// operate makes a console call and returns the answer's status.
func operate(t *testing.T, p *running, line, body string) int {
	t.Helper()
	c := dial(t, p.ConsoleAddr())
	c.send(t, fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
	resp, _ := c.answer(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("%s: the connection stays: %v", line, err)
	}
	return resp.StatusCode
}

func (p *running) health(t *testing.T) int {
	t.Helper()
	c := connect(t, p)
	c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, _ := c.answer(t)
	return resp.StatusCode
}

// asks sends n requests on one connection and returns how many were served. One that is rejected, as may happen on a
// busy machine, is sent again.
func (p *running) asks(t *testing.T, n int) (ok int) {
	t.Helper()
	c := connect(t, p)
	for end := time.Now().Add(patience); n > 0; {
		c.send(t, look(fmt.Sprint(time.Now().UnixNano()), 4000))
		resp, _ := c.answer(t)
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
	p, _, _ := operated(t)
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
			if got := operate(t, p, c.line, c.body); got != c.want {
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
		if resp, _ := c.answer(t); resp.StatusCode != 400 {
			t.Errorf("%.20q: got %s", text, resp.Status)
		}
	}
}

// Connections without a complete call delay no other caller beyond its second, and their number is bounded.
func TestConsoleAnswersInTimeDespiteSilentConnections(t *testing.T) {
	p, _, _ := operated(t)
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
		if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
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
	p, _, _ := operated(t)
	release := make(chan struct{})
	p.onLoop(func() { <-release })
	start := time.Now()
	if got := operate(t, p, "POST /_backends/detach", "a"); got != 503 {
		t.Errorf("with the loop held: got %d", got)
	}
	if took := time.Since(start); took < admin.OperationTimeout {
		t.Errorf("after %v", took)
	}
	close(release)
	if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
		t.Errorf("then: got %d", got)
	}
}

// Once a detach is answered the backend gets no request, whatever discovery lists; one attach reverts two detaches.
func TestDetachedBackendGetsNoRequests(t *testing.T) {
	a, b := startBackend(t, says(served, true)), startBackend(t, says(served, true))
	d := startDiscovery(t)
	both := []string{listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)}
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", d.addr, both...)
	p.asks(t, 40)
	if a.requests.Load() == 0 {
		t.Fatal("it was not in use")
	}
	for range 2 {
		if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Fatalf("detach: %d", got)
		}
	}
	came := a.requests.Load()
	for i, text := range []string{listText(5, true, both...),
		listText(6, false, listed("a", a.addr, discovery.Deleted)), listText(7, false, both[0])} {
		d.say <- text
		waitUntil(t, func() bool { return strings.HasPrefix(wait(t, "call", d.calls), fmt.Sprintf("from=%d&", 5+i)) })
		if ok := p.asks(t, 40); ok != 40 || a.requests.Load() != came {
			t.Errorf("%s: %d served, %d requests to it", text, ok, a.requests.Load()-came)
		}
	}
	if got := operate(t, p, "POST /_backends/attach", "a"); got != 200 {
		t.Fatalf("attach: %d", got)
	}
	waitUntil(t, func() bool { p.asks(t, 10); return a.requests.Load() > came })
}

// In lame duck health checks fail at once, and client connections are closed after a while. Turning it off restores
// service at any time, without a restart.
func TestLameDuckClosesConnectionsUntilTurnedOff(t *testing.T) {
	release := make(chan struct{})
	b := startBackend(t, holds(release))
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr, listed("a", b.addr, discovery.Serving))
	idle, held := connect(t, p), connect(t, p)
	idle.send(t, look("1", 8000))
	idle.answer(t)
	held.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 2 })
	for range 3 { // on, and off in the middle
		if got := operate(t, p, "POST /_lameduck/on", ""); got != 200 {
			t.Fatalf("on: %d", got)
		}
		if got := p.health(t); got != 503 {
			t.Errorf("health is %d", got)
		}
		if got := operate(t, p, "GET /_ready", ""); got != 200 {
			t.Errorf("ready is %d", got)
		}
		if ok := p.asks(t, 1); ok != 1 {
			t.Error("a new connection is not served")
		}
		if got := operate(t, p, "POST /_lameduck/off", ""); got != 200 {
			t.Fatalf("off: %d", got)
		}
		if got := p.health(t); got != 200 {
			t.Errorf("health is %d", got)
		}
	}
	idle.send(t, look("2", 8000))
	if resp, _ := idle.answer(t); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("after off: got %s, close %v", resp.Status, resp.Close)
	}
	operate(t, p, "POST /_lameduck/on", "")
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection stays open: %v", err)
	}
	close(release)
	if resp, _ := held.answer(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request: got %s, close %v", resp.Status, resp.Close)
	}
	waitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	operate(t, p, "POST /_lameduck/off", "")
	if ok := p.asks(t, 3); ok != 3 || p.health(t) != 200 {
		t.Errorf("after off: %d of 3 served", ok)
	}
	operate(t, p, "POST /_lameduck/on", "") // SIGTERM in lame duck
	p.stop()
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}

// A connection on which part of a head has arrived is not idle: closing it would reset the request.
func TestLameDuckKeepsConnectionWithPartialHead(t *testing.T) {
	p, _, _ := operated(t)
	kept, fresh := connect(t, p), connect(t, p)
	kept.send(t, look("0", 4000))
	kept.answer(t)
	head := look("1", 4000)
	for _, c := range []*client{kept, fresh} {
		c.send(t, head[:20])
		time.Sleep(20 * time.Millisecond)
	}
	operate(t, p, "POST /_lameduck/on", "")
	time.Sleep(downstream.LameDuckDelay + downstream.NewConnectionsPossible + 200*time.Millisecond)
	for i, c := range []*client{kept, fresh} {
		c.send(t, strings.Replace(head, "Request-Id: 1", fmt.Sprint("Request-Id: s", i), 1)[20:])
		if resp, _ := c.answer(t); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("connection %d: got %s, close %v", i, resp.Status, resp.Close)
		}
	}
}
