package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/socket"
)

func TestPoolSkipsConnectionThatItsPeerClosed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, false)) // closes in spite of keep-alive
	p := newTestPool(4, b.Address)
	for n := range 3 {
		if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.OK {
			t.Fatalf("attempt %d: got %v", n, result.Status)
		}
		backendtest.Receive(t, "close", b.Closed)
		backendtest.WaitUntil(t, func() bool { // the close has arrived
			p.mu.Lock()
			defer p.mu.Unlock()
			return !socket.IsQuiet(p.endpoints["a"].idle[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Connections.Load() != 3 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Connections.Load())
	}
	p.Sweep(time.Now())
	if p.Stats().Open != 0 {
		t.Errorf("%d connections open after the sweep", p.Stats().Open)
	}
}

// The close crosses the request, which may have run. It is sent exactly once.
func TestAttemptReportsResetWhenIdleConnectionCloses(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, backendtest.OK)
		}
		return n == 1
	})
	p := newTestPool(4, b.Address)
	if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	restIdle(p)
	if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.Reset {
		t.Errorf("got status %v", result.Status)
	}
	if b.Requests.Load() != 2 || b.Connections.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Connections.Load())
	}
}

// A backend drops idle connections silently, long before the configured time.
func TestPoolSkipsOldConnectionsAfterStaleOne(t *testing.T) {
	var drop atomic.Bool
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		if drop.Swap(false) {
			return false
		}
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	p := newTestPool(4, b.Address)
	p.staleResetWindow = patience
	send := func(want balancer.Status, conns int32) {
		t.Helper()
		if result := newTestAttempt(t, p, "a", patience).run(); result.Status != want || b.Connections.Load() != conns {
			t.Fatalf("got %v on connection %d, want %v on %d", result.Status, b.Connections.Load(), want, conns)
		}
	}
	send(balancer.OK, 1)
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 1) // no connection has been stale yet
	ageIdle(p, 2*time.Second)
	drop.Store(true)
	send(balancer.Reset, 1)
	send(balancer.OK, 2)
	ageIdle(p, 1500*time.Millisecond)
	send(balancer.OK, 3) // the old one is not used
	ageIdle(p, 500*time.Millisecond)
	send(balancer.OK, 3)
	for range 100 { // the limit grows again
		p.Sweep(time.Now())
	}
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 3)
	p.mu.Lock()
	p.advanceGenerationLocked(p.endpoints["a"]) // closes idle connections
	p.mu.Unlock()
	drop.Store(true)
	send(balancer.Reset, 4) // the reset of a new connection does not lower the limit
	send(balancer.OK, 5)
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 5)
}

func TestPoolReusesMostRecentConnectionAndSweepsOldOnes(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	var conns []*conn
	for range 3 {
		c, err := findTarget(t, p, "a").dial(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	p.put(conns[0])
	p.put(conns[1])
	restIdle(p)
	p.put(conns[2])
	if c := findTarget(t, p, "a").reuse(); c != conns[1] {
		t.Error("not the most recently used one of those that have rested")
	}
	p.put(conns[1])
	p.Sweep(time.Now().Add(p.idleTimeout))
	if stats := p.Stats(); stats.Idle != 0 || stats.Open != 0 {
		t.Errorf("%d idle, %d open", stats.Idle, stats.Open)
	}
}

func TestDialReportsConnectionLimit(t *testing.T) {
	p := newTestPool(0, "127.0.0.1:1")
	if _, err := findTarget(t, p, "a").dial(t.Context()); !errors.Is(err, errConnectionLimit) {
		t.Errorf("got error %v", err)
	}
}

func TestPoolEvictsIdleConnectionOrRefusesAtLimit(t *testing.T) {
	quick := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	hanging := backendtest.Start(t, backendtest.Hang(t))
	p := newTestPool(1, quick.Address, hanging.Address)
	if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	inFlight := newTestAttempt(t, p, "b", patience)
	results := make(chan Result, 1)
	go func() { results <- inFlight.run() }()
	backendtest.Receive(t, "close of the idle connection", quick.Closed)
	backendtest.WaitUntil(t, func() bool { return hanging.Requests.Load() == 1 })
	if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.NotAttempted {
		t.Errorf("at the limit: got %v", result.Status)
	}
	inFlight.cancel()
	backendtest.Receive(t, "result", results)
	if result := newTestAttempt(t, p, "a", patience).run(); result.Status != balancer.OK {
		t.Errorf("below the limit: got %v", result.Status)
	}
}
