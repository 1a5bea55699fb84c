// Package ramp measures the load that cold backends receive from all of their proxies during slow start, relative to
// the load that they can sustain.
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

// Experiment runs all scenarios, in each of which one backend or all backends of a zone restart cold.
var Experiment = scale.Experiment{
	Name:    "ramp",
	Summary: "load of cold backends relative to what they can sustain, and calls served meanwhile",
	Run:     run,
}

// plan configures the size of the service and the durations of the phases of a scenario.
type plan struct {
	backends int
	warmUp   time.Duration // at the start of the scenario, not measured
	before   time.Duration // all backends are up
	outage   time.Duration // the backends that will restart are down
	recovery time.Duration // from the restart of these backends on
}

var (
	fullPlan = plan{backends: 30, warmUp: 4 * time.Second, before: 4 * time.Second, outage: 2 * time.Second,
		recovery: backendWarmUp + 2*time.Second}
	smallPlan = plan{backends: 10, warmUp: time.Second, before: time.Second, outage: time.Second,
		recovery: 2 * time.Second}
)

// scenario configures one scenario of the experiment.
type scenario struct {
	proxies        int
	coldZone       bool    // whether all backends of a zone restart, not only one backend
	overloadFactor float64 // multiple of its current capacity that a cold backend sustains
	load           float64 // as a fraction of the total capacity of all backends when warm
}

func (c scenario) String() string {
	cold := "one cold backend"
	if c.coldZone {
		cold = "a cold zone"
	}
	return fmt.Sprintf("%d callers, %s, load %.0f%%, falls at %.1f times its capacity",
		c.proxies, cold, 100*c.load, c.overloadFactor)
}

var scenarios = []scenario{
	{proxies: 33, load: 0.6, overloadFactor: 3},
	{proxies: 100, load: 0.6, overloadFactor: 3},
	{proxies: 33, coldZone: true, load: 0.6, overloadFactor: 3},
	{proxies: 100, coldZone: true, load: 0.6, overloadFactor: 3},
	{proxies: 33, load: 0.8, overloadFactor: 1.5},
	{proxies: 100, load: 0.8, overloadFactor: 1.5},
	{proxies: 33, coldZone: true, load: 0.8, overloadFactor: 1.5},
	{proxies: 100, coldZone: true, load: 0.8, overloadFactor: 1.5},
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan
	if env.Small {
		p = smallPlan
	}
	result := scale.Result{Notes: notes(p)}
	for _, c := range scenarios {
		env.Progress("%v", c)
		m, err := runScenario(ctx, p, c, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%v: %w", c, err)
		}
		result.Figures = append(result.Figures, figures(p, c, m)...)
	}
	return result, nil
}

// measurement holds the results of one scenario.
type measurement struct {
	before, outage, recovery phase
	counts                   backend.Counts
}

// phase counts the calls of one phase by result.
type phase struct{ served, notServed int64 }

func (p phase) servedRatio() float64 {
	return float64(p.served) / float64(max(1, p.served+p.notServed))
}

// runScenario runs a scenario on a new service: backends crash and later restart cold.
func runScenario(ctx context.Context, p plan, c scenario, seed uint64) (*measurement, error) {
	svc, err := newService(p, c, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { svc.run(ctx) })
	m := &measurement{}
	err = m.runPhases(ctx, svc, p, c)
	stop()
	running.Wait()
	if err != nil {
		return nil, fmt.Errorf("run cold-start scenario: %w", err)
	}
	m.counts = svc.tier.Counts()
	return m, nil
}

// runPhases runs the phases of a scenario on a running service.
func (m *measurement) runPhases(ctx context.Context, svc *service, p plan, c scenario) error {
	names := svc.names[:1]
	if c.coldZone {
		names = svc.namesInFirstZone()
	}
	if _, err := svc.runPhase(ctx, p.warmUp); err != nil {
		return err
	}
	var err error
	if m.before, err = svc.runPhase(ctx, p.before); err != nil {
		return err
	}
	if err = svc.crash(names); err != nil {
		return err
	}
	if m.outage, err = svc.runPhase(ctx, p.outage); err != nil {
		return err
	}
	if err = svc.restart(names); err != nil {
		return err
	}
	m.recovery, err = svc.runPhase(ctx, p.recovery)
	return err
}

// runPhase waits for the duration of a phase and returns the results of the calls in that time.
func (svc *service) runPhase(ctx context.Context, d time.Duration) (phase, error) {
	served, notServed := svc.results.served.Load(), svc.results.notServed.Load()
	err := timing.Wait(ctx, d)
	return phase{svc.results.served.Load() - served, svc.results.notServed.Load() - notServed}, err
}

func notes(p plan) []string {
	return []string{
		fmt.Sprintf("%d backends in %d zones, each with a capacity of %.0f calls/s when warm. A cold one starts at %.1f of it, "+
			"has all of it after %v, and crashes when it receives too much load within %v.",
			p.backends, len(zones), warmRate, initialCapacity, backendWarmUp, overloadWindow),
		fmt.Sprintf("Proxies generate idempotent calls; lists are pushed. Backends are down, and not on the list, for %v before "+
			"they restart; the %v after the restart are measured.", p.outage, p.recovery),
		"Too much load for a cold backend is more than N + 2 x sqrt(N) + 2 calls of mean work, N being the calls that it can " +
			"serve in the same time, multiplied by the factor in the name of the case.",
	}
}

// figures returns the figures of one scenario.
func figures(p plan, c scenario, m *measurement) []scale.Figure {
	var figs []scale.Figure
	add := func(quantity, unit string, value float64, target *float64, samples int64) {
		figs = append(figs, scale.Figure{Case: c.String(), Quantity: quantity, Unit: unit, Value: value, Target: target,
			Source: scale.HollowProxy, Samples: int(samples)})
	}
	calls := m.before.served + m.before.notServed
	capacity := warmRate * float64(p.backends) * p.before.Seconds()
	add("calls before, over the capacity of all", "part", float64(calls)/capacity, nil, calls)
	cold := m.counts.ColdArrivals
	add("worst window of a cold backend over what it bears", "part", m.counts.ColdPeakThresholdRatio, scale.Target(1), cold)
	add("the same with nothing allowed for chance", "part", m.counts.ColdPeakSustainableRatio, nil, cold)
	add("cold backends that fell", "backends", float64(m.counts.OverloadCrashes), scale.Target(0), cold)
	for _, ph := range []struct {
		name string
		phase
	}{{"before", m.before}, {"while backends are away", m.outage}, {"while they are cold", m.recovery}} {
		add("calls served "+ph.name, "part", ph.servedRatio(), nil, ph.served+ph.notServed)
	}
	return figs
}
