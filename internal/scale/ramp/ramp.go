// Package ramp is the experiment that measures what cold backends get from all the proxies that call them, against what
// such backends bear.
package ramp

import (
	"context"
	"fmt"
	"sync"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/scale"
)

// Experiment measures the load of backends that come back cold.
var Experiment = scale.Experiment{
	Name:    "ramp",
	Summary: "calls that cold backends get from all proxies against what they bear, and calls served meanwhile",
	Run:     run,
}

// size says how large a service is and how long it is driven.
type size struct {
	backends int
	warmUp   time.Duration // of the proxies, before anything counts
	before   time.Duration // with all backends
	outage   time.Duration // without those that come back cold
	cold     time.Duration // from their return
}

var (
	fullSize = size{backends: 30, warmUp: 4 * time.Second, before: 4 * time.Second, outage: 2 * time.Second,
		cold: coldSpan + 2*time.Second}
	smallSize = size{backends: 10, warmUp: time.Second, before: time.Second, outage: time.Second, cold: 2 * time.Second}
)

// circumstances are a case of the experiment.
type circumstances struct {
	callers     int
	wholeZone   bool // comes back cold, and not just one backend
	tipMultiple float64
	load        float64 // part of the capacity of all warm backends that is called for
}

func (c circumstances) String() string {
	cold := "one cold backend"
	if c.wholeZone {
		cold = "a cold zone"
	}
	return fmt.Sprintf("%d callers, %s, load %.0f%%, falls at %.1f times its capacity", c.callers, cold, 100*c.load, c.tipMultiple)
}

var cases = []circumstances{
	{callers: 33, load: 0.6, tipMultiple: 3},
	{callers: 100, load: 0.6, tipMultiple: 3},
	{callers: 33, wholeZone: true, load: 0.6, tipMultiple: 3},
	{callers: 100, wholeZone: true, load: 0.6, tipMultiple: 3},
	{callers: 33, load: 0.8, tipMultiple: 1.5},
	{callers: 100, load: 0.8, tipMultiple: 1.5},
	{callers: 33, wholeZone: true, load: 0.8, tipMultiple: 1.5},
	{callers: 100, wholeZone: true, load: 0.8, tipMultiple: 1.5},
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	s := fullSize
	if env.Small {
		s = smallSize
	}
	result := scale.Result{Notes: notes(s)}
	for _, c := range cases {
		env.Progress("%v", c)
		r, err := play(ctx, s, c, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%v: %w", c, err)
		}
		result.Figures = append(result.Figures, figures(s, c, r)...)
	}
	return result, nil
}

// record is what was seen in one play.
type record struct {
	before, outage, cold phase
	counts               backend.Counts
}

// phase is what callers were answered in a part of a play.
type phase struct{ served, others int64 }

func (p phase) servedPart() float64 { return float64(p.served) / float64(max(1, p.served+p.others)) }

// play takes backends of a fresh service down, brings them back cold and returns what was seen.
func play(ctx context.Context, s size, c circumstances, seed uint64) (*record, error) {
	svc, err := newService(s, c, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { svc.run(ctx) })
	r := &record{}
	err = r.watch(ctx, svc, s, c)
	stop()
	running.Wait()
	if err != nil {
		return nil, fmt.Errorf("play a cold start: %w", err)
	}
	r.counts = svc.tier.Counts()
	return r, nil
}

// watch drives a service that runs.
func (r *record) watch(ctx context.Context, svc *service, s size, c circumstances) error {
	names := svc.names[:1]
	if c.wholeZone {
		names = svc.inFirstZone()
	}
	if _, err := svc.phase(ctx, s.warmUp); err != nil {
		return err
	}
	var err error
	if r.before, err = svc.phase(ctx, s.before); err != nil {
		return err
	}
	if err = svc.takeDown(names); err != nil {
		return err
	}
	if r.outage, err = svc.phase(ctx, s.outage); err != nil {
		return err
	}
	if err = svc.bringBack(names); err != nil {
		return err
	}
	r.cold, err = svc.phase(ctx, s.cold)
	return err
}

// phase waits and returns the answers of that time.
func (svc *service) phase(ctx context.Context, d time.Duration) (phase, error) {
	served, others := svc.answers.served.Load(), svc.answers.others.Load()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return phase{svc.answers.served.Load() - served, svc.answers.others.Load() - others}, ctx.Err()
}

func notes(s size) []string {
	return []string{
		fmt.Sprintf("%d backends in %d zones, each for %.0f calls a second when warm; a cold one has %.1f of that at first, and all "+
			"after %v, and falls when it gets too much within %v.", s.backends, len(zones), warmRate, startCapacity, coldSpan, fallAfter),
		fmt.Sprintf("Proxies draw safe calls by themselves; lists are pushed. The backends are away, and off the list, for %v; "+
			"then %v of their return are watched.", s.outage, s.cold),
		"What a cold backend bears is N + 2 x root of N + 2 calls of mean work, N being the multiple of its present capacity.",
	}
}

// figures are those of one case.
func figures(s size, c circumstances, r *record) []scale.Figure {
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
	add("the same with nothing allowed for chance", "part", r.counts.ColdPeakMeanLoad, nil, cold)
	add("cold backends that fell", "backends", float64(r.counts.Overloaded), scale.Target(0), cold)
	for _, p := range []struct {
		name string
		phase
	}{{"before", r.before}, {"while backends are away", r.outage}, {"while they are cold", r.cold}} {
		add("calls served "+p.name, "part", p.servedPart(), nil, p.served+p.others)
	}
	return list
}
