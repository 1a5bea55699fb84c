// Package latency measures the latency that real proxies add to calls: one proxy at several rates, and a chain of
// proxies. Direct calls and calls through the proxies alternate within one run.
package latency

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"baylock/internal/scale"
)

// Experiment is the experiment.
var Experiment = scale.Experiment{
	Name:       "latency",
	Summary:    "what a real proxy adds to a call at several rates, and what a chain of 13 adds",
	NeedsProxy: true,
	Run:        run,
}

const (
	maxAddedMs = 1.4 // target for one proxy, at targetAt
	// gcPercent is GOGC of the tool. Rare collections keep its pauses out of the calls.
	gcPercent = 800
)

// stage is one part of the run: calls through a chain of proxies at one rate.
type stage struct {
	depth  int
	rate   float64 // calls a second
	blocks int     // direct ones, and as many through the proxies
}

func (s stage) name() string {
	if s.depth == 1 {
		return fmt.Sprintf("1 proxy, %g calls/s", s.rate)
	}
	return fmt.Sprintf("chain of %d, %g calls/s", s.depth, s.rate)
}

// plan is the extent of a run.
type plan struct {
	stages   []stage
	block    time.Duration // duration of a block of calls
	warmUp   time.Duration // of direct calls, and of calls through the proxies
	listSize int           // backends of each list
}

func fullPlan() plan {
	const depth, usualRate = 13, 134
	return plan{block: time.Second, warmUp: 3 * time.Second, listSize: 33, stages: []stage{
		{1, usualRate, 15}, {1, 500, 15}, {1, 1000, 15}, {depth, usualRate, 30},
	}}
}

func smallPlan() plan {
	return plan{block: 200 * time.Millisecond, warmUp: 100 * time.Millisecond, listSize: 5, stages: []stage{
		{1, 50, 2}, {3, 50, 2},
	}}
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan()
	if env.Small {
		p = smallPlan()
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	return scale.WithSeparateCores(env.Cores, func(cores []int) (scale.Result, error) {
		return measureOn(ctx, env, p, cores)
	})
}

// measureOn measures with the proxies on the given cores.
func measureOn(ctx context.Context, env scale.Env, p plan, cores []int) (result scale.Result, err error) {
	alone := map[float64]*measurement{} // of one proxy, by rate
	for _, s := range p.stages {
		env.Progress("%s", s.name())
		measured, err := measureStage(ctx, env, p, s, cores)
		if err != nil {
			return result, fmt.Errorf("%s: %w", s.name(), err)
		}
		result.Figures = append(result.Figures, figuresOf(s, measured)...)
		if s.depth == 1 {
			alone[s.rate] = measured
		} else if one := alone[s.rate]; one != nil {
			result.Figures = append(result.Figures, s.multiple(one))
		}
		if err := measured.through.firstError; err != nil {
			result.Notes = append(result.Notes, fmt.Sprintf("%s: the first call not served: %v.", s.name(), err))
		}
	}
	result.Notes = append(notes(p, cores, env.Cores), result.Notes...)
	return result, nil
}

func notes(p plan, proxyCores, allCores []int) []string {
	list := []string{
		fmt.Sprintf("All proxies, each with a limit of 1 core, ran on core %v; the tool with its clients and backends on the "+
			"others of %v. The proxies of the chain shared one core, so their waits for it are in its figures.",
			proxyCores, allCores),
		fmt.Sprintf("Open loop, Poisson arrivals; latency counts from the intended start of a call to its last byte. Blocks "+
			"of %v of direct calls and of calls through the proxies alternated, with the same arrivals, after %v of each.",
			p.block, p.warmUp),
		"Added, by percentiles: the percentile through the proxies less that of the direct calls. Added to the median: the " +
			"percentile through the proxies less the median of the direct calls, which includes all noise of the machine.",
		fmt.Sprintf("Each list has %d endpoints, all with the address of one server in the tool; in the chain it calls the "+
			"next tier's proxy, or directly the next tier's server, before it responds.", p.listSize),
	}
	if len(allCores) < 2 {
		list = append(list, "The tool and the proxies shared one core, which affects the figures.")
	}
	return list
}
