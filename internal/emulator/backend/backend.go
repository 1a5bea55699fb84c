// Package backend emulates the backends of a service in memory, for hollow proxies to send to: workers with a bounded
// queue, cold starts, congestion, injected faults, hangs and crashes, and requests to the next tier through a proxy of
// the backend's own. Time is that of package time, so that a Tier also runs under testing/synctest.
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
	// Call blocks until the final answer. It cancels the call when the context ends.
	Call(ctx context.Context, call hollow.Call) hollow.Result
}

// Tier is the backends of one tier. Its methods may be called at any time from any goroutine.
type Tier struct {
	cfg      Config
	servers  map[string]*server
	counters *counters
}

// New returns a tier whose backends are up and warm.
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
	return s.exchange(ctx, call, s.sample(call.ID))
}

// Connect gives a backend its proxy of the next tier. Without one it answers by itself.
func (t *Tier) Connect(name string, next Caller) error {
	return t.update(name, func(s *server) { s.next = next })
}

// SetFaults replaces the injected faults of all backends. Attempts at work get the new ones too.
func (t *Tier) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return fmt.Errorf("backends: faults %+v: %w", faults, err)
	}
	for _, s := range t.servers {
		s.setFaults(faults)
	}
	return nil
}

// Hang makes a backend hang: it accepts calls, and ends none.
func (t *Tier) Hang(name string) error {
	return t.update(name, func(s *server) { s.hang() })
}

// Resume ends a hang.
func (t *Tier) Resume(name string) error {
	return t.update(name, func(s *server) { s.resume() })
}

// Crash ends a backend's process: its calls are reset, and new connections are refused.
func (t *Tier) Crash(name string) error {
	return t.update(name, func(s *server) { s.crash() })
}

// Start starts a backend's process, cold. One that is up crashes first.
func (t *Tier) Start(name string) error {
	return t.update(name, func(s *server) {
		s.crash()
		s.start(time.Now())
	})
}

// update changes the state of one backend, under its lock.
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

// Counts returns the tier's counts since its start.
func (t *Tier) Counts() Counts { return t.counters.snapshot() }

// sleep waits; it returns false at once when the context ends.
func sleep(ctx context.Context, d time.Duration) bool { return timing.Wait(ctx, d) == nil }
