// Package latency measures the latency that real proxies add to calls: one proxy at several rates, and a chain of
// proxies. Blocks of direct calls and blocks of calls through the proxies alternate within one run.
package latency

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"baylock/internal/scale"
)

// Experiment measures one proxy at several rates, and a chain of proxies at one of these rates.
var Experiment = scale.Experiment{
	Name:       "latency",
	Summary:    "latency that a real proxy adds to calls at several rates, and that a chain of 13 adds",
	NeedsProxy: true,
	Run:        run,
}

const (
	maxAddedMs = 1.4 // target for the latency that one proxy adds at targetPercentile
	// gcPercent is the tool's GOGC value. With rare garbage collections, their pauses affect fewer of the calls.
	gcPercent = 800
)

// stage is one part of the run: calls through a chain of proxies at one rate.
type stage struct {
	depth  int
	rate   float64 // calls per second
	blocks int     // number of blocks of direct calls, and also of blocks of calls through the proxies
}

func (s stage) name() string {
	if s.depth == 1 {
		return fmt.Sprintf("1 proxy, %g calls/s", s.rate)
	}
	return fmt.Sprintf("chain of %d, %g calls/s", s.depth, s.rate)
}

// plan configures the extent of a run.
type plan struct {
	stages        []stage
	blockDuration time.Duration // of each block of calls
	warmUp        time.Duration // duration of the direct calls, and of those through the proxies, before the blocks
	listSize      int           // number of endpoints on each list
}

func fullPlan() plan {
	const depth, usualRate = 13, 134
	return plan{blockDuration: time.Second, warmUp: 3 * time.Second, listSize: 33, stages: []stage{
		{1, usualRate, 15}, {1, 500, 15}, {1, 1000, 15}, {depth, usualRate, 30},
	}}
}

func smallPlan() plan {
	return plan{blockDuration: 200 * time.Millisecond, warmUp: 100 * time.Millisecond, listSize: 5, stages: []stage{
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

// measureOn runs the experiment with the proxies on the given cores.
func measureOn(ctx context.Context, env scale.Env, p plan, cores []int) (result scale.Result, err error) {
	singleProxy := map[float64]*measurement{} // measurements of a single proxy, by rate
	for _, s := range p.stages {
		env.Progress("%s", s.name())
		measured, err := measureStage(ctx, env, p, s, cores)
		if err != nil {
			return result, fmt.Errorf("%s: %w", s.name(), err)
		}
		result.Figures = append(result.Figures, figuresOf(s, measured)...)
		if s.depth == 1 {
			singleProxy[s.rate] = measured
		} else if single := singleProxy[s.rate]; single != nil {
			result.Figures = append(result.Figures, s.extrapolate(single))
		}
		if err := measured.proxied.firstError; err != nil {
			result.Notes = append(result.Notes, fmt.Sprintf("%s: first failed call through the proxies: %v.", s.name(), err))
		}
	}
	result.Notes = append(notes(p, cores, env.Cores), result.Notes...)
	return result, nil
}

func notes(p plan, proxyCores, allCores []int) []string {
	list := []string{
		fmt.Sprintf("All proxies, each with a limit of 1 core, ran on core %v of the allowed cores %v; the tool, its clients "+
			"and its backends ran on the others, if any. The proxies of the chain shared one core, and its figures include the "+
			"time that they waited for it.",
			proxyCores, allCores),
		fmt.Sprintf("Open loop, Poisson arrivals; latency counts from the intended start of a call to its last byte. Blocks of %v "+
			"of direct calls and of calls through the proxies alternated, with the same arrivals, after a warm-up of %v of each.",
			p.blockDuration, p.warmUp),
		"Added by percentiles: the percentile through the proxies less that of the direct calls. Added to the median: the " +
			"percentile through the proxies less the median of the direct calls; this includes all noise of the machine.",
		fmt.Sprintf("Each list has %d endpoints, all with the address of one server in the tool. In the chain, that server "+
			"calls the next tier's proxy, or in the direct case the next tier's server, before it responds.", p.listSize),
	}
	if len(allCores) < 2 {
		list = append(list, "The tool and the proxies shared one core, which affects the figures.")
	}
	return list
}
