package proxy

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"baylock/balancer"
)

// lateDialer holds its first dial back until released, and counts all.
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

func withLateDialer(p *backends) *lateDialer {
	d := &lateDialer{dial: p.dialer, release: make(chan struct{})}
	p.dialer = d.dialContext
	return d
}

// On days on which a third of connections come up up to 1.5 s late, calls waited for them on idle backends.
func TestALateDialIsHedgedAndItsConnectionKept(t *testing.T) {
	b := startBackend(t, says(served, true))
	p := poolWith(4, b.addr)
	d := withLateDialer(p)
	if res := newAttempt(p, "a", patience).run(); res.status != balancer.OK {
		t.Fatalf("got %v", res.status)
	}
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d requests came, want 1", n)
	}
	close(d.release)
	waitUntil(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.byName["a"].idle) == int(d.dials.Load()) && p.open == int(d.dials.Load())
	})
}

func TestAConnectionThatFallsIdleIsTakenInPlaceOfALateDial(t *testing.T) {
	b := startBackend(t, says(served, true))
	p := poolWith(4, b.addr)
	c, err := p.dial(t.Context(), p.byName["a"], b.addr, p.byName["a"].epoch)
	if err != nil {
		t.Fatal(err)
	}
	d := withLateDialer(p)
	p.hedges.tokens = 0 // no further dial is allowed
	results := make(chan result, 1)
	go func() { results <- newAttempt(p, "a", patience).run() }()
	waitUntil(t, func() bool { return d.dials.Load() == 1 })
	p.keep(c)
	if res := wait(t, "answer", results); res.status != balancer.OK {
		t.Fatalf("got %v", res.status)
	}
	if n := d.dials.Load(); n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
	close(d.release)
}

func TestAStoppedAttemptLeavesNoDialBehind(t *testing.T) {
	b := startBackend(t, says(served, true))
	p := poolWith(4, b.addr)
	d := withLateDialer(p)
	a := newAttempt(p, "a", patience)
	results := make(chan result, 1)
	go func() { results <- a.run() }()
	waitUntil(t, func() bool { return d.dials.Load() == 1 })
	a.stop()
	if res := wait(t, "end", results); res.status != balancer.NotAttempted {
		t.Errorf("got %v", res.status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != 0 {
		t.Errorf("%d connections counted as open", p.open)
	}
}

// A backend that refuses one dial is not waited for, though another dial is still out.
func TestARefusalEndsTheRace(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	var dials atomic.Int32
	p.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("connection refused")
	}
	if res := newAttempt(p, "a", patience).run(); res.status != balancer.ConnectFailed {
		t.Errorf("got %v", res.status)
	}
}

// Each dial costs its backend a handshake: where all are late, no more than a part is made again.
func TestFurtherDialsAreAPartOfAll(t *testing.T) {
	h := newHedgePolicy()
	const firsts = 1000
	further := 0
	for range firsts {
		h.begin("z")
		for range maxRacingDials - 1 {
			if h.allow() {
				further++
			}
		}
	}
	if most := hedgePart*firsts + hedgeBurst; float64(further) > most || float64(further) < hedgePart*firsts-1 {
		t.Errorf("%d further dials for %d first ones, want %v at most", further, firsts, most)
	}
}

func TestTheDelayBeforeAFurtherDialFollowsTheUsualConnectTime(t *testing.T) {
	h := newHedgePolicy()
	if got := h.begin("z"); got != hedgeFirstDelay {
		t.Errorf("with no connect time known: %v", got)
	}
	for i := range 3 * connectSamples { // a third of connections come up late
		took := 20 * time.Millisecond
		if i%3 == 0 {
			took = time.Second
		}
		h.observe("z", took)
	}
	if got := h.begin("z"); got != hedgeFactor*20*time.Millisecond {
		t.Errorf("with a third late: %v", got)
	}
	if got := h.begin("another zone"); got != hedgeFirstDelay {
		t.Errorf("another zone's connect times count: %v", got)
	}
	for range connectSamples { // all are slow: a further dial would be as slow
		h.observe("z", time.Second)
	}
	if got := h.begin("z"); got != hedgeMostDelay {
		t.Errorf("with all slow: %v", got)
	}
	for range connectSamples {
		h.observe("z", time.Microsecond)
	}
	if got := h.begin("z"); got != hedgeLeastDelay {
		t.Errorf("with all quick: %v", got)
	}
}
