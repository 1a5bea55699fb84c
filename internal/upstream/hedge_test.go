package upstream

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
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

func withLateDialer(p *Pool) *lateDialer {
	d := &lateDialer{dial: p.DialContext, release: make(chan struct{})}
	p.DialContext = d.dialContext
	return d
}

// On days on which a third of connections come up up to 1.5 s late, calls waited for them on idle backends.
func TestALateDialIsHedgedAndItsConnectionKept(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	d := withLateDialer(p)
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
		t.Fatalf("got %v", res.Status)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests came, want 1", n)
	}
	close(d.release)
	backendtest.WaitUntil(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.endpoints["a"].idle) == int(d.dials.Load()) && p.open == int(d.dials.Load())
	})
}

func TestAConnectionThatFallsIdleIsTakenInPlaceOfALateDial(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	c, err := findTarget(t, p, "a").dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	d := withLateDialer(p)
	p.hedging.tokens = 0 // no further dial is allowed
	results := make(chan Result, 1)
	go func() { results <- newTestAttempt(t, p, "a", patience).run() }()
	backendtest.WaitUntil(t, func() bool { return d.dials.Load() == 1 })
	p.put(c)
	if res := backendtest.Receive(t, "answer", results); res.Status != balancer.OK {
		t.Fatalf("got %v", res.Status)
	}
	if n := d.dials.Load(); n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
	close(d.release)
}

func TestAStoppedAttemptLeavesNoDialBehind(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	d := withLateDialer(p)
	a := newTestAttempt(t, p, "a", patience)
	results := make(chan Result, 1)
	go func() { results <- a.run() }()
	backendtest.WaitUntil(t, func() bool { return d.dials.Load() == 1 })
	a.cancel()
	if res := backendtest.Receive(t, "end", results); res.Status != balancer.NotAttempted {
		t.Errorf("got %v", res.Status)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != 0 {
		t.Errorf("%d connections counted as open", p.open)
	}
}

// A backend that refuses one dial is not waited for, though another dial is still out.
func TestARefusalEndsTheRace(t *testing.T) {
	p := newTestPool(4, "127.0.0.1:1")
	var dials atomic.Int32
	p.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("connection refused")
	}
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.ConnectFailed {
		t.Errorf("got %v", res.Status)
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
	if most := hedgeTokensPerDial*firsts + maxHedgeTokens; float64(further) > most || float64(further) < hedgeTokensPerDial*firsts-1 {
		t.Errorf("%d further dials for %d first ones, want %v at most", further, firsts, most)
	}
}

func TestTheDelayBeforeAFurtherDialFollowsTheUsualConnectTime(t *testing.T) {
	h := newHedgePolicy()
	if got := h.begin("z"); got != initialHedgeDelay {
		t.Errorf("with no connect time known: %v", got)
	}
	for i := range 3 * connectTimeSamples { // a third of connections come up late
		took := 20 * time.Millisecond
		if i%3 == 0 {
			took = time.Second
		}
		h.observe("z", took)
	}
	if got := h.begin("z"); got != hedgeDelayFactor*20*time.Millisecond {
		t.Errorf("with a third late: %v", got)
	}
	if got := h.begin("another zone"); got != initialHedgeDelay {
		t.Errorf("another zone's connect times count: %v", got)
	}
	for range connectTimeSamples { // all are slow: a further dial would be as slow
		h.observe("z", time.Second)
	}
	if got := h.begin("z"); got != maxHedgeDelay {
		t.Errorf("with all slow: %v", got)
	}
	for range connectTimeSamples {
		h.observe("z", time.Microsecond)
	}
	if got := h.begin("z"); got != minHedgeDelay {
		t.Errorf("with all quick: %v", got)
	}
}
