// Package ramp measures the load that cold backends receive from all of their proxies, in proportion to what they can
// sustain.
package ramp

import (
	"context"
	"fmt"
	"sync"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/scale"
	"baylock/internal/timing"
)

// Experiment is the experiment.
var Experiment = scale.Experiment{
	Name:    "ramp",
	Summary: "load of cold backends in proportion to what they sustain, and calls served meanwhile",
	Run:     run,
}

// size is the size of a service and the duration of a scenario's phases.
type size struct {
	backends int
	warmUp   time.Duration // of the proxies, not measured
	before   time.Duration // with all backends
	outage   time.Duration // without the backends that restart
	recovery time.Duration // from their restart
}

var (
	fullSize = size{backends: 30, warmUp: 4 * time.Second, before: 4 * time.Second, outage: 2 * time.Second,
		recovery: warmUp + 2*time.Second}
	smallSize = size{backends: 10, warmUp: time.Second, before: time.Second, outage: time.Second,
		recovery: 2 * time.Second}
)

// scenario is one scenario of the experiment.
type scenario struct {
	callers        int
	coldZone       bool // a whole zone restarts, not one backend
	overloadFactor float64
	load           float64 // as a fraction of the capacity of all warm backends
}

func (c scenario) String() string {
	cold := "one cold backend"
	if c.coldZone {
		cold = "a cold zone"
	}
	return fmt.Sprintf("%d callers, %s, load %.0f%%, falls at %.1f times its capacity",
		c.callers, cold, 100*c.load, c.overloadFactor)
}

var scenarios = []scenario{
	{callers: 33, load: 0.6, overloadFactor: 3},
	{callers: 100, load: 0.6, overloadFactor: 3},
	{callers: 33, coldZone: true, load: 0.6, overloadFactor: 3},
	{callers: 100, coldZone: true, load: 0.6, overloadFactor: 3},
	{callers: 33, load: 0.8, overloadFactor: 1.5},
	{callers: 100, load: 0.8, overloadFactor: 1.5},
	{callers: 33, coldZone: true, load: 0.8, overloadFactor: 1.5},
	{callers: 100, coldZone: true, load: 0.8, overloadFactor: 1.5},
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	s := fullSize
	if env.Small {
		s = smallSize
	}
	result := scale.Result{Notes: notes(s)}
	for _, c := range scenarios {
		env.Progress("%v", c)
		r, err := measure(ctx, s, c, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%v: %w", c, err)
		}
		result.Figures = append(result.Figures, figures(s, c, r)...)
	}
	return result, nil
}

// measurement is what is measured in one scenario.
type measurement struct {
	before, outage, recovery phase
	counts                   backend.Counts
}

// phase counts the results of the calls in one phase.
type phase struct{ served, others int64 }

func (p phase) servedRatio() float64 { return float64(p.served) / float64(max(1, p.served+p.others)) }

// measure runs a scenario on a new service: backends crash, and later restart cold.
func measure(ctx context.Context, s size, c scenario, seed uint64) (*measurement, error) {
	svc, err := newService(s, c, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { svc.run(ctx) })
	r := &measurement{}
	err = r.measure(ctx, svc, s, c)
	stop()
	running.Wait()
	if err != nil {
		return nil, fmt.Errorf("run a cold start: %w", err)
	}
	r.counts = svc.tier.Counts()
	return r, nil
}

// measure runs the phases on a running service.
func (r *measurement) measure(ctx context.Context, svc *service, s size, c scenario) error {
	names := svc.names[:1]
	if c.coldZone {
		names = svc.namesInFirstZone()
	}
	if _, err := svc.phase(ctx, s.warmUp); err != nil {
		return err
	}
	var err error
	if r.before, err = svc.phase(ctx, s.before); err != nil {
		return err
	}
	if err = svc.crash(names); err != nil {
		return err
	}
	if r.outage, err = svc.phase(ctx, s.outage); err != nil {
		return err
	}
	if err = svc.restart(names); err != nil {
		return err
	}
	r.recovery, err = svc.phase(ctx, s.recovery)
	return err
}

// phase waits for the duration of a phase and returns its results.
func (svc *service) phase(ctx context.Context, d time.Duration) (phase, error) {
	served, others := svc.results.served.Load(), svc.results.others.Load()
	err := timing.Wait(ctx, d)
	return phase{svc.results.served.Load() - served, svc.results.others.Load() - others}, err
}

func notes(s size) []string {
	return []string{
		fmt.Sprintf("%d backends in %d zones, each with a capacity of %.0f calls a second when warm. A cold one has %.1f of that "+
			"at first, all of it after %v, and crashes when it receives too much within %v.",
			s.backends, len(zones), warmRate, initialCapacity, warmUp, overloadWindow),
		fmt.Sprintf("Proxies generate idempotent calls; lists are pushed. The backends are down, and not on the list, for %v; "+
			"the %v after their restart are measured.", s.outage, s.recovery),
		"A cold backend sustains N + 2 x root of N + 2 calls of mean work, N being the multiple of its present capacity.",
	}
}

// figures returns the figures of one scenario.
func figures(s size, c scenario, r *measurement) []scale.Figure {
	var list []scale.Figure
	add := func(quantity, unit string, value float64, target *float64, samples int64) {
		list = append(list, scale.Figure{Case: c.String(), Quantity: quantity, Unit: unit, Value: value, Target: target,
			Source: scale.HollowProxy, Samples: int(samples)})
	}
	calls := r.before.served + r.before.others
	capacity := warmRate * float64(s.backends) * s.before.Seconds()
	add("calls before, over the capacity of all", "part", float64(calls)/capacity, nil, calls)
	cold := r.counts.ColdArrivals
	add("worst window of a cold backend over what it bears", "part", r.counts.ColdPeakLoad, scale.Target(1), cold)
	add("the same with nothing allowed for chance", "part", r.counts.ColdPeakSustainableRatio, nil, cold)
	add("cold backends that fell", "backends", float64(r.counts.OverloadCrashes), scale.Target(0), cold)
	for _, p := range []struct {
		name string
		phase
	}{{"before", r.before}, {"while backends are away", r.outage}, {"while they are cold", r.recovery}} {
		add("calls served "+p.name, "part", p.servedRatio(), nil, p.served+p.others)
	}
	return list
}
