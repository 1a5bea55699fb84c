package backend

import (
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
)

// Config describes the backends of one tier; they are all alike.
type Config struct {
	Names      []string         // of the backends, as in the endpoint list
	Classes    []balancer.Class // of calls, in the order of the proxies' settings
	Work       time.Duration    // mean service time of a call at a warm backend, without the next tier's
	Latency    time.Duration    // mean network latency, each way; 0: none
	Workers    int              // calls served at once; one that waits for the next tier keeps its worker
	Queue      int              // calls that wait for a worker at most; more are rejected
	ColdStart  ColdStart
	Congestion Congestion
	Seed       uint64 // of all random draws
}

func (c *Config) check() error {
	switch {
	case len(c.Names) == 0:
		return errors.New("no Names")
	case c.Work <= 0:
		return fmt.Errorf("non-positive Work %v", c.Work)
	case c.Latency < 0:
		return fmt.Errorf("negative Latency %v", c.Latency)
	case c.Workers < 1:
		return fmt.Errorf("%d Workers: want at least 1", c.Workers)
	case c.Queue < 0:
		return fmt.Errorf("negative Queue %d", c.Queue)
	}
	if err := c.Congestion.check(); err != nil {
		return err
	}
	return c.ColdStart.check()
}

// Congestion describes how a backend slows down under load: a call that begins while more than Threshold calls are at
// the backend, itself and the queue included, takes Slowdown times as long. The zero Congestion means no slowdown.
type Congestion struct {
	Threshold int
	Slowdown  float64
}

func (c Congestion) check() error {
	if c != (Congestion{}) && (c.Threshold < 1 || !(c.Slowdown >= 1)) {
		return fmt.Errorf("Congestion %+v: want Threshold and Slowdown of at least 1", c)
	}
	return nil
}

// Faults are the faults that are injected into single calls at a backend that is up. Ratios are of all calls.
type Faults struct {
	ErrorRatio float64 // answered with an error after their work, before the next tier is called
	StallRatio float64 // never answered; they keep their workers until they are cancelled
	ResetRatio float64 // reset after their work

	DelayRatio float64       // delayed on their way, as by a connection that is slow to establish
	MaxDelay   time.Duration // delays are drawn evenly from 0 up to it
}

func (f Faults) check() error {
	if !(f.ErrorRatio >= 0 && f.StallRatio >= 0 && f.ResetRatio >= 0 && f.ErrorRatio+f.StallRatio+f.ResetRatio <= 1) {
		return errors.New("want ErrorRatio, StallRatio and ResetRatio of at least 0, and at most 1 together")
	}
	if !(f.DelayRatio >= 0 && f.DelayRatio <= 1) {
		return errors.New("want DelayRatio from 0 to 1")
	}
	if f.MaxDelay < 0 {
		return errors.New("negative MaxDelay")
	}
	return nil
}
