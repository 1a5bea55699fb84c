// Package slopes measures the cost of control for one real proxy as its endpoint list grows: memory, CPU time and
// bytes, idle and in use, at four list sizes, and the line through them.
package slopes

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment is the experiment.
var Experiment = scale.Experiment{
	Name:       "slopes",
	Summary:    "memory, processor time and bytes of one real proxy as its list grows, idle and in use",
	NeedsProxy: true,
	Run:        run,
}

// plan is the extent of a run.
type plan struct {
	sizes          []int         // of the list
	starts         int           // of the proxy, for the cost of a restart
	settle         time.Duration // before an idle measurement
	idle           time.Duration
	rounds         int           // of the measurements in use
	changes        int           // single changes of the list
	changeInterval time.Duration // between two of them
	snapshots      int           // responses with the complete list
	warmUp         time.Duration // of calls, before they are measured
	inUse          time.Duration // duration of the measured calls
	rate           float64       // calls a second
}

func fullPlan() plan {
	return plan{sizes: []int{33, 100, 330, 970}, starts: 5, settle: 2 * time.Second, idle: 10 * time.Second, rounds: 4,
		changes: 50, changeInterval: 20 * time.Millisecond, snapshots: 20, warmUp: 2 * time.Second, inUse: 4 * time.Second,
		rate: 134}
}

func smallPlan() plan {
	return plan{sizes: []int{10, 100}, starts: 1, settle: 100 * time.Millisecond, idle: 500 * time.Millisecond, rounds: 1,
		changes: 10, changeInterval: 5 * time.Millisecond, snapshots: 3, warmUp: 100 * time.Millisecond,
		inUse: 500 * time.Millisecond, rate: 134}
}

// mode is a way in which the proxy gets its endpoint list.
type mode struct {
	name       string
	membership string
}

func modes() []mode { return []mode{{"pushed", scale.Pushed}, {"asked", scale.Polled}} }

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan()
	if env.Small {
		p = smallPlan()
	}
	return scale.WithSeparateCores(env.Cores, func(cores []int) (scale.Result, error) {
		return measureOn(ctx, env, p, cores)
	})
}

// measureOn measures with the proxies on the given cores.
func measureOn(ctx context.Context, env scale.Env, p plan, cores []int) (result scale.Result, err error) {
	for _, m := range modes() {
		points, err := measureAll(ctx, env, p, m, cores)
		if err != nil {
			return result, fmt.Errorf("%s: %w", m.name, err)
		}
		figures, err := figuresOf(m, points)
		if err != nil {
			return result, err
		}
		result.Figures = append(result.Figures, figures...)
	}
	result.Notes = notes(p, cores, env.Cores)
	return result, nil
}

func notes(p plan, proxyCores, allCores []int) []string {
	list := []string{
		fmt.Sprintf("The proxies, one for each size with limits of 1 core, 192 MB and 1,024 descriptors, ran on core %v, one "+
			"in use at a time; the tool with discovery, clients and backends on the others of %v.", proxyCores, allCores),
		"Bytes are those of discovery's application, headers included, in both directions; TCP and IP come on top. " +
			"The emulated service's entries are as long as the real ones, without their type.",
		fmt.Sprintf("Medians of %d starts, and of %d rounds over all sizes, each with %d single changes, %v apart (a backend "+
			"drains and returns), %d whole lists, and %g calls/s (Poisson) for %v after %v of them. Idle time is one period "+
			"of %v.", p.starts, p.rounds, p.changes, p.changeInterval, p.snapshots, p.rate, p.inUse, p.warmUp, p.idle),
		"Memory is all resident memory, that of the program itself and of calls included; control is a part of it. " +
			"1 MB is a million bytes.",
		"All endpoints of a list have the address of one server in the tool, which responds at once.",
	}
	if len(allCores) < 2 {
		list = append(list, "The tool and the proxy shared one core, which affects the figures.")
	}
	return list
}
