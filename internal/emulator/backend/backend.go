// Package backend emulates the backends of a service in memory, as what a hollow proxy sends to: workers with a bounded
// queue, cold starts, failures, stalls, hangs and crashes, and calls to the next tier through a proxy of the backend's
// own. Time is that of package time, so that a Tier also runs under testing/synctest.
package backend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
	"baylock/internal/emulator/hollow"
	"baylock/internal/timing"
)

// Caller makes calls to the next tier; a *hollow.Proxy does.
type Caller interface {
	// Call blocks until the final answer. It gives the call up when the context ends.
	Call(ctx context.Context, call hollow.Call) hollow.Result
}

// Config describes the backends of one tier; they are all alike.
type Config struct {
	Names   []string         // of the backends, as discovery lists them
	Classes []balancer.Class // of calls, in the order of the proxies' settings
	Work    time.Duration    // mean of the time that a call takes at a warm backend, without that of the next tier
	Latency time.Duration    // mean of the time on the network, each way; 0: none
	Workers int              // calls that a backend works on at once; one that waits for the next tier keeps its worker
	Queue   int              // calls that wait for a worker at most; those beyond are turned away
	Cold    ColdStart
	Crowded Crowding
	Seed    uint64 // of all random draws
}

func (c *Config) check() error {
	switch {
	case len(c.Names) == 0:
		return errors.New("backends: no Names")
	case c.Work <= 0:
		return errors.New("backends: Work is not positive")
	case c.Latency < 0:
		return errors.New("backends: negative Latency")
	case c.Workers < 1:
		return errors.New("backends: fewer than one of Workers")
	case c.Queue < 0:
		return errors.New("backends: negative Queue")
	}
	if err := c.Crowded.check(); err != nil {
		return err
	}
	return c.Cold.check()
}

// Crowding describes how a backend slows down under load: a call whose work begins while more than Calls are there,
// itself and those in the queue included, takes Slowdown times as long. The zero Crowding is that of backends that don't.
type Crowding struct {
	Calls    int
	Slowdown float64
}

func (c Crowding) check() error {
	if c != (Crowding{}) && (c.Calls < 1 || !(c.Slowdown >= 1)) {
		return fmt.Errorf("backends: Crowded %+v: want Calls and Slowdown of at least 1", c)
	}
	return nil
}

// Faults are what goes wrong with single calls at a backend that is up.
type Faults struct {
	FailPart  float64 // part of calls that fail after their work, before the next tier is called
	StallPart float64 // part of calls that are never answered; they keep their workers until they are given up
	ResetPart float64 // part of calls whose connection is reset after their work

	LatePart float64       // part of calls that come late, as over a connection that does not come up
	LateMost time.Duration // by so much at most; evenly spread
}

func (f Faults) check() error {
	if !(f.FailPart >= 0 && f.StallPart >= 0 && f.ResetPart >= 0 && f.FailPart+f.StallPart+f.ResetPart <= 1) {
		return fmt.Errorf("backends: faults %+v are not parts of a whole", f)
	}
	if !(f.LatePart >= 0 && f.LatePart <= 1) || f.LateMost < 0 {
		return fmt.Errorf("backends: faults %+v: LatePart is no part, or LateMost is negative", f)
	}
	return nil
}

// Tier is the backends of one tier. Its methods may be called at any time from any goroutine.
type Tier struct {
	cfg     Config
	servers map[string]*server
	books   *books
}

// New returns a tier whose backends are up and warm.
func New(cfg Config) (*Tier, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	t := &Tier{cfg: cfg, servers: make(map[string]*server, len(cfg.Names)), books: newBooks(cfg.Classes)}
	for _, name := range cfg.Names {
		if t.servers[name] != nil {
			return nil, fmt.Errorf("backends: name %q is given twice", name)
		}
		t.servers[name] = newServer(name, &t.cfg, t.books)
	}
	return t, nil
}

// timerSlack is how late the end of an attempt's context may be noticed, as with Linux timers. Time-outs would otherwise
// often fall on one microsecond, and no seed would settle in which order proxies hear of them.
const timerSlack = 50 * time.Microsecond

// Attempt implements hollow.Upstream. An attempt that is given up on its way there never arrives.
func (t *Tier) Attempt(ctx context.Context, name string, call hollow.Call) balancer.Status {
	s := t.servers[name]
	if s == nil {
		return balancer.ConnectFailed
	}
	return s.visit(ctx, call, s.draw(call.ID))
}

// toldTime is how long a proxy says that it will wait: in whole milliseconds, as on the wire.
func toldTime(deadline time.Time) time.Duration {
	return max(time.Millisecond, time.Until(deadline).Truncate(time.Millisecond))
}

// sleep waits, and returns false at once when the context ends.
func sleep(ctx context.Context, d time.Duration) bool { return timing.Wait(ctx, d) == nil }

// Connect gives a backend its proxy of the next tier. Without one it answers by itself.
func (t *Tier) Connect(name string, next Caller) error {
	return t.with(name, func(s *server) { s.next = next })
}

// SetFaults replaces the faults of all backends, for the calls that reach the end of their work from now on.
func (t *Tier) SetFaults(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	for _, s := range t.servers {
		s.setFaults(f)
	}
	return nil
}

// Hang makes a backend stand still: it accepts calls, and ends none.
func (t *Tier) Hang(name string) error {
	return t.with(name, func(s *server) { s.hang() })
}

// Resume ends a hang.
func (t *Tier) Resume(name string) error {
	return t.with(name, func(s *server) { s.resume() })
}

// Crash ends a backend's process: its calls are reset, and new ones find nobody.
func (t *Tier) Crash(name string) error {
	return t.with(name, func(s *server) { s.crash() })
}

// Start starts a backend anew, cold. One that is up crashes first.
func (t *Tier) Start(name string) error {
	return t.with(name, func(s *server) { s.crash(); s.start(time.Now()) })
}

// with runs do on a backend under its lock.
func (t *Tier) with(name string, do func(*server)) error {
	s := t.servers[name]
	if s == nil {
		return fmt.Errorf("backends: no %q", name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s)
	return nil
}

// Counts returns what the tier has counted since its start.
func (t *Tier) Counts() Counts { return t.books.snapshot() }
