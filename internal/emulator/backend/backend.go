// Package backend emulates, in memory, the backends to which hollow proxies send attempts. It models workers with a
// bounded queue, cold starts, congestion, injected faults, hangs and crashes, and the calls that each backend makes to
// the next tier through its own proxy. It uses the clock and timers of package time, so that a Tier also runs under
// testing/synctest.
package backend

import (
	"context"
	"fmt"
	"time"

	"baylock/balancer"
	"baylock/internal/emulator/hollow"
	"baylock/internal/timing"
)

// Caller makes calls to the next tier; *hollow.Proxy implements it.
type Caller interface {
	// Call makes a call and blocks until its final answer. It cancels the call when the context ends.
	Call(ctx context.Context, call hollow.Call) hollow.Result
}

// Tier holds the backends of one tier. It is safe for concurrent use.
type Tier struct {
	cfg      Config
	servers  map[string]*server
	counters *counters
}

// New returns a Tier whose backends are all running and warm.
func New(cfg Config) (*Tier, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("backends: %w", err)
	}
	t := &Tier{cfg: cfg, servers: make(map[string]*server, len(cfg.Names)), counters: newCounters(cfg.Classes)}
	for _, name := range cfg.Names {
		if t.servers[name] != nil {
			return nil, fmt.Errorf("backends: duplicate name %q", name)
		}
		t.servers[name] = newServer(name, &t.cfg, t.counters)
	}
	return t, nil
}

// Attempt implements hollow.Upstream. An attempt that is cancelled on its way to the backend never arrives there.
func (t *Tier) Attempt(ctx context.Context, name string, call hollow.Call) balancer.Status {
	s := t.servers[name]
	if s == nil {
		return balancer.ConnectFailed
	}
	return s.roundTrip(ctx, call, s.sample(call.ID))
}

// Connect sets the proxy through which a backend calls the next tier. A backend without one makes no such calls.
func (t *Tier) Connect(name string, next Caller) error {
	return t.update(name, func(s *server) { s.next = next })
}

// SetFaults replaces the injected faults of all backends. It also applies to attempts whose work has begun.
func (t *Tier) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return fmt.Errorf("backends: faults %+v: %w", faults, err)
	}
	for _, s := range t.servers {
		s.setFaults(faults)
	}
	return nil
}

// Hang makes a backend hang: it accepts attempts, but none of them completes its work until Resume is called.
func (t *Tier) Hang(name string) error {
	return t.update(name, func(s *server) { s.hang() })
}

// Resume ends a backend's hang.
func (t *Tier) Resume(name string) error {
	return t.update(name, func(s *server) { s.resume() })
}

// Crash terminates a backend's process: its attempts are reset, and new connections are refused until Start is called.
func (t *Tier) Crash(name string) error {
	return t.update(name, func(s *server) { s.crash() })
}

// Start starts a backend's process, which is cold at first. A backend that is running crashes before that.
func (t *Tier) Start(name string) error {
	return t.update(name, func(s *server) {
		s.crash()
		s.start(time.Now())
	})
}

// update calls change for one backend, with its lock held.
func (t *Tier) update(name string, change func(*server)) error {
	s := t.servers[name]
	if s == nil {
		return fmt.Errorf("backends: unknown backend %q", name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	return nil
}

// Counts returns the tier's counts since New.
func (t *Tier) Counts() Counts { return t.counters.snapshot() }

// sleep blocks for d. It returns false as soon as the context ends.
func sleep(ctx context.Context, d time.Duration) bool { return timing.Wait(ctx, d) == nil }
