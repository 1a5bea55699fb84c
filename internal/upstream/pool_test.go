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
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, false)) // closes the connection without announcing it
	p := newTestPool(4, b.Address)
	for n := range 3 {
		if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
			t.Fatalf("attempt %d: got %v", n, result.Status)
		}
		backendtest.Receive(t, "close", b.Closed)
		backendtest.WaitUntil(t, func() bool { // until the close has arrived
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

// The endpoint closes an idle connection while a request is being sent on it. The request may have run, so it is sent
// exactly once.
func TestAttemptReportsResetWhenIdleConnectionCloses(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, backendtest.OK)
		}
		return n == 1
	})
	p := newTestPool(4, b.Address)
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	makeIdleReusable(p)
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.Reset {
		t.Errorf("got status %v", result.Status)
	}
	if b.Requests.Load() != 2 || b.Connections.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Connections.Load())
	}
}

// The backend silently drops idle connections long before the configured idle timeout.
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
	p.staleResetWindow = testTimeout
	send := func(want balancer.Status, conns int32) {
		t.Helper()
		if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != want || b.Connections.Load() != conns {
			t.Fatalf("got %v on connection %d, want %v on %d", result.Status, b.Connections.Load(), want, conns)
		}
	}
	send(balancer.OK, 1)
	setIdleTime(p, 2*time.Second)
	send(balancer.OK, 1) // no connection has been stale yet
	setIdleTime(p, 2*time.Second)
	drop.Store(true)
	send(balancer.Reset, 1)
	send(balancer.OK, 2)
	setIdleTime(p, 1500*time.Millisecond)
	send(balancer.OK, 3) // the connection has been idle for too long to be reused
	setIdleTime(p, 500*time.Millisecond)
	send(balancer.OK, 3)
	for range 100 { // raise the reuse limit again
		p.Sweep(time.Now())
	}
	setIdleTime(p, 2*time.Second)
	send(balancer.OK, 3)
	p.mu.Lock()
	p.advanceGenerationLocked(p.endpoints["a"]) // closes idle connections
	p.mu.Unlock()
	drop.Store(true)
	send(balancer.Reset, 4) // a reset on a new connection does not lower the limit
	send(balancer.OK, 5)
	setIdleTime(p, 2*time.Second)
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
	makeIdleReusable(p)
	p.put(conns[2])
	if c := findTarget(t, p, "a").reuse(); c != conns[1] {
		t.Error("reuse did not return the most recently used connection that was idle for ReuseDelay")
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
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	inFlight := newTestAttempt(t, p, "b", testTimeout)
	results := make(chan Result, 1)
	go func() { results <- inFlight.run() }()
	backendtest.Receive(t, "close of the idle connection", quick.Closed)
	backendtest.WaitUntil(t, func() bool { return hanging.Requests.Load() == 1 })
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.NotAttempted {
		t.Errorf("at the limit: got %v", result.Status)
	}
	inFlight.cancel()
	backendtest.Receive(t, "result", results)
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
		t.Errorf("below the limit: got %v", result.Status)
	}
}
