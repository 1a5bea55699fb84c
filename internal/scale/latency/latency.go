// Package latency measures what real proxies add to a call: one proxy at several rates, and a chain of them. Calls go
// directly and through the proxies in turn within one run.
package latency

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"baylock/internal/scale"
)

// Experiment is the measurement.
var Experiment = scale.Experiment{
	Name:       "latency",
	Summary:    "what a real proxy adds to a call at several rates, and what a chain of 13 adds",
	NeedsProxy: true,
	Run:        run,
}

const (
	mostAddedMs = 1.4 // that a proxy adds to 99 calls in 100
	// The tool collects its garbage this much more seldom than usual, lest its pauses show in the calls.
	collectPercent = 800
)

// stage is one part of the run: calls through so many proxies at a rate.
type stage struct {
	depth  int
	rate   float64 // calls a second
	blocks int     // each way
}

func (s stage) name() string {
	if s.depth == 1 {
		return fmt.Sprintf("1 proxy, %g calls/s", s.rate)
	}
	return fmt.Sprintf("chain of %d, %g calls/s", s.depth, s.rate)
}

// plan is how much is measured.
type plan struct {
	stages []stage
	block  time.Duration // of calls one way, before those of the other
	warmUp time.Duration // each way
	listed int           // backends on each list
}

func fullPlan() plan {
	const depth, usualRate = 13, 134
	return plan{block: time.Second, warmUp: 3 * time.Second, listed: 33, stages: []stage{
		{1, usualRate, 15}, {1, 500, 15}, {1, 1000, 15}, {depth, usualRate, 30},
	}}
}

func smallPlan() plan {
	return plan{block: 200 * time.Millisecond, warmUp: 100 * time.Millisecond, listed: 5, stages: []stage{
		{1, 50, 2}, {3, 50, 2},
	}}
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan()
	if env.Small {
		p = smallPlan()
	}
	defer debug.SetGCPercent(debug.SetGCPercent(collectPercent))
	return scale.WithSeparateCores(env.Cores, func(cores []int) (scale.Result, error) { return measureOn(ctx, env, p, cores) })
}

// measureOn measures with the proxies on the given cores.
func measureOn(ctx context.Context, env scale.Env, p plan, cores []int) (result scale.Result, err error) {
	alone := map[float64]*measurement{} // one proxy, by rate
	for _, s := range p.stages {
		env.Progress("%s", s.name())
		measured, err := perform(ctx, env, p, s, cores)
		if err != nil {
			return result, fmt.Errorf("%s: %w", s.name(), err)
		}
		result.Figures = append(result.Figures, figuresOf(s, measured)...)
		if s.depth == 1 {
			alone[s.rate] = measured
		} else if one := alone[s.rate]; one != nil {
			result.Figures = append(result.Figures, s.multiple(one))
		}
		if failure := measured.through.failure; failure != nil {
			result.Notes = append(result.Notes, fmt.Sprintf("%s: the first call not served: %v.", s.name(), failure))
		}
	}
	result.Notes = append(notes(p, cores, env.Cores), result.Notes...)
	return result, nil
}

func notes(p plan, proxyCores, allCores []int) []string {
	list := []string{
		fmt.Sprintf("All proxies, each told of 1 core, ran on core %v; the tool with its clients and backends on the others "+
			"of %v. The proxies of the chain share that one core, so their waits for it are in its figures; each would "+
			"have a core of its own.", proxyCores, allCores),
		fmt.Sprintf("Open loop, Poisson arrivals; time counts from the intended instant of a call to its last byte. Blocks "+
			"of %v directly and through the proxies took turns, with the same arrivals, after %v of calls each way.",
			p.block, p.warmUp),
		"Added, by percentiles: that of the calls through less the same one of the direct calls. Added to the median: the " +
			"percentile of the calls through less the median of the direct calls, which puts all noise of the machine down " +
			"to the proxy.",
		fmt.Sprintf("Each list has %d names, all with the address of one server in the tool; in the chain it calls through "+
			"the next tier's proxy, or directly the next tier's server, before it answers.", p.listed),
	}
	if len(allCores) < 2 {
		list = append(list, "With one core the tool and the proxies shared it: the figures are disturbed.")
	}
	return list
}
