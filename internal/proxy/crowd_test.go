package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baylock/internal/discovery"
)

// Idle clients hold all the descriptors that clients may have, and more of them come, while discovery is down: requests,
// backends, health checks and the console go on, and the list that discovery has at its return is taken.
func TestIdleClientsStopNothingWhileDiscoveryIsDown(t *testing.T) {
	a, b := startBackend(t, says(served, true)), startBackend(t, says(served, true))
	var up atomic.Bool
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, listText(2, true, listed("a", a.addr, discovery.Draining), listed("b", b.addr, discovery.Serving)))
		time.Sleep(10 * time.Millisecond)
	}))
	defer d.Close()
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", strings.TrimPrefix(d.URL, "http://"),
		listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving))
	most := p.clients.Stats().Max
	for i := range 2 * most {
		switch c := connect(t, p); i % 3 {
		case 0: // silent
		case 1:
			c.send(t, "GET /lo")
		case 2:
			c.send(t, look(time.Now().String(), 4000))
			c.answer(t)
		}
	}
	for _, r := range []struct {
		what string
		got  int
	}{{"health check", p.health(t)}, {"console", operate(t, p, "GET /_ready", "")}} {
		if r.got != http.StatusOK {
			t.Errorf("%s: got %d", r.what, r.got)
		}
	}
	if ok := p.asks(t, 20); ok != 20 {
		t.Errorf("%d of 20 served", ok)
	}
	up.Store(true)
	waitUntil(t, func() bool { _, ok := p.loop.pool.Find("a"); return !ok })
	before := a.requests.Load()
	if ok := p.asks(t, 20); ok != 20 || a.requests.Load() != before {
		t.Errorf("after discovery's return %d of 20 served, %d by a backend that drains", ok, a.requests.Load()-before)
	}
	if n := p.clients.Stats().Open; n > most {
		t.Errorf("%d connections of at most %d", n, most)
	}
}

// A process that shares its descriptors with another from now on gives back what only idle clients hold.
func TestAHalvedLimitClosesIdleConnections(t *testing.T) {
	p, most := crowded(t, says(served, true))
	for range most {
		c := connect(t, p)
		c.send(t, look(time.Now().String(), 4000))
		c.answer(t)
	}
	p.limits.setAlone(false)
	if n, most := p.clients.Stats().Open, p.clients.Stats().Max; n > most {
		t.Errorf("%d connections of at most %d", n, most)
	}
}
