package upstream

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"baylock/balancer"
	"baylock/internal/backendtest"
)

// lateDialer blocks its first dial until release is closed, and counts all dials.
type lateDialer struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	release chan struct{}
	dials   atomic.Int32
}

func (d *lateDialer) dialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.dials.Add(1) == 1 {
		select {
		case <-d.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return d.dial(ctx, network, addr)
}

// withLateDialer makes a pool dial through a new lateDialer.
func withLateDialer(p *Pool) *lateDialer {
	d := &lateDialer{dial: p.DialContext, release: make(chan struct{})}
	p.DialContext = d.dialContext
	return d
}

func TestLateDialIsHedgedAndItsConnectionKept(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	d := withLateDialer(p)
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests received, want 1", n)
	}
	close(d.release)
	backendtest.WaitUntil(t, func() bool {
		stats, dials := p.Stats(), int(d.dials.Load())
		return stats.Idle == dials && stats.Open == dials
	})
}

func TestPoolCloseEndsLateDials(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	withLateDialer(p) // never released, so the first dial ends only when it is cancelled
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	p.Close()
	if stats := p.Stats(); stats.Open != 0 || stats.Idle != 0 {
		t.Errorf("%d connections open, %d idle", stats.Open, stats.Idle)
	}
}

func TestIdleConnectionReplacesLateDial(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	c, err := findTarget(t, p, "a").dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	d := withLateDialer(p)
	p.hedging.tokens = 0 // no hedge is allowed
	a := newTestAttempt(t, p, "a", testTimeout)
	results := make(chan Result, 1)
	go func() { results <- a.run() }()
	backendtest.WaitUntil(t, func() bool { return d.dials.Load() == 1 })
	p.put(c)
	if result := backendtest.Receive(t, "result", results); result.Status != balancer.OK {
		t.Fatalf("got status %v", result.Status)
	}
	if n := d.dials.Load(); n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
	close(d.release)
}

func TestCancelledAttemptLeavesNoDial(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	d := withLateDialer(p)
	a := newTestAttempt(t, p, "a", testTimeout)
	results := make(chan Result, 1)
	go func() { results <- a.run() }()
	backendtest.WaitUntil(t, func() bool { return d.dials.Load() == 1 })
	a.cancel()
	if result := backendtest.Receive(t, "result", results); result.Status != balancer.NotAttempted {
		t.Errorf("got status %v", result.Status)
	}
	if open := p.Stats().Open; open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// A refused dial ends the race even if another dial is still pending.
func TestRefusedDialEndsRace(t *testing.T) {
	p := newTestPool(4, "127.0.0.1:1")
	var dials atomic.Int32
	p.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("connection refused")
	}
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.ConnectFailed {
		t.Errorf("got status %v", result.Status)
	}
}
