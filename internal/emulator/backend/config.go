package backend

import (
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
)

// Config configures the backends of one tier. It applies to each of them.
type Config struct {
	Names      []string         // of the backends, as in the endpoint list
	Classes    []balancer.Class // of calls, in the same order as in the proxies' settings
	Work       time.Duration    // mean service time of a call at a warm backend, excluding the call to the next tier
	Latency    time.Duration    // mean one-way network latency; 0: none
	Workers    int              // calls served concurrently; a call that waits for the next tier keeps its worker
	Queue      int              // maximum number of calls waiting for a worker; further calls are rejected
	ColdStart  ColdStart
	Congestion Congestion
	Seed       uint64 // of all random values
}

func (c *Config) check() error {
	switch {
	case len(c.Names) == 0:
		return errors.New("empty Names")
	case c.Work <= 0:
		return fmt.Errorf("non-positive Work %v", c.Work)
	case c.Latency < 0:
		return fmt.Errorf("negative Latency %v", c.Latency)
	case c.Workers < 1:
		return fmt.Errorf("%d Workers, but at least 1 is needed", c.Workers)
	case c.Queue < 0:
		return fmt.Errorf("negative Queue %d", c.Queue)
	}
	if err := c.Congestion.check(); err != nil {
		return err
	}
	return c.ColdStart.check()
}

// Congestion describes how a backend slows down under load. If more than Threshold calls are in progress or queued at
// the backend when the work of one of them begins, that work takes Slowdown times as long. The zero Congestion means
// no slowdown.
type Congestion struct {
	Threshold int
	Slowdown  float64
}

func (c Congestion) check() error {
	if c != (Congestion{}) && (c.Threshold < 1 || !(c.Slowdown >= 1)) {
		return fmt.Errorf("Congestion %+v: Threshold and Slowdown must be at least 1", c)
	}
	return nil
}

// Faults configures the faults that running backends inject into attempts. Each ratio is a fraction of all attempts.
type Faults struct {
	ErrorRatio float64 // attempts answered with an error after their work, before the next tier is called
	StallRatio float64 // attempts never answered; they keep their workers until they are cancelled
	ResetRatio float64 // attempts reset after their work, before the next tier is called

	DelayRatio float64       // attempts delayed on their way to the backend, as if connecting took long
	MaxDelay   time.Duration // delays are uniformly distributed between 0 and MaxDelay
}

func (f Faults) check() error {
	if !(f.ErrorRatio >= 0 && f.StallRatio >= 0 && f.ResetRatio >= 0 && f.ErrorRatio+f.StallRatio+f.ResetRatio <= 1) {
		return errors.New("ErrorRatio, StallRatio and ResetRatio must be at least 0, and their sum at most 1")
	}
	if !(f.DelayRatio >= 0 && f.DelayRatio <= 1) {
		return errors.New("DelayRatio must be between 0 and 1")
	}
	if f.MaxDelay < 0 {
		return errors.New("negative MaxDelay")
	}
	return nil
}
