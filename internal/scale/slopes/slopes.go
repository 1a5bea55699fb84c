// Package slopes measures the cost of control for one real proxy, that is, of everything but serving calls, as its
// endpoint list grows: memory, CPU time and discovery traffic, idle and under load, at four list sizes, and a line
// fitted to the values of each.
package slopes

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment measures one proxy for each list size, once with pushed and once with polled lists.
var Experiment = scale.Experiment{
	Name:       "slopes",
	Summary:    "memory, CPU time and discovery traffic of one real proxy as its endpoint list grows, idle and in use",
	NeedsProxy: true,
	Run:        run,
}

// plan configures the extent of a run.
type plan struct {
	sizes          []int         // of the endpoint list
	starts         int           // number of proxy starts, to measure the cost of a restart
	settle         time.Duration // pause before the idle measurement
	idle           time.Duration // duration of the idle measurement
	rounds         int           // of the measurements of changes, snapshots and calls
	changes        int           // single changes to the list, per measurement
	changeInterval time.Duration // time between two changes
	snapshots      int           // number of snapshots (responses with the complete list), per measurement
	warmUp         time.Duration // duration of the calls that precede the measured ones
	inUse          time.Duration // duration of the measured calls
	rate           float64       // calls per second
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

// mode is a way in which the proxy receives updates of its endpoint list.
type mode struct {
	name       string // part of the figures' cases; "asked" means polled
	membership string // scale.Pushed or scale.Polled
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

// measureOn runs the experiment with the proxies on the given cores.
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
		fmt.Sprintf("The proxies, one per list size with limits of 1 core, 192 MB and 1,024 descriptors, ran on core %v "+
			"of the allowed cores %v, one in use at a time. The tool with discovery, clients and backends ran on the others, if any.",
			proxyCores, allCores),
		"Bytes are those of the discovery protocol at the application layer, in both directions, headers included; TCP and " +
			"IP overhead is not counted. Entries of the emulated service are as long as the real ones without their type.",
		fmt.Sprintf("Values are medians of %d starts, and of %d rounds over all sizes, each with %d single changes, %v apart "+
			"(a backend drains and returns), %d complete lists, and %g calls/s (Poisson) for %v after a warm-up of %v. The "+
			"idle proxies were measured once, for %v.",
			p.starts, p.rounds, p.changes, p.changeInterval, p.snapshots, p.rate, p.inUse, p.warmUp, p.idle),
		"Memory is all resident memory, including that of the program itself and of calls; control uses a part of it. " +
			"1 MB is a million bytes.",
		"All endpoints of a list have the address of one server in the tool, which responds at once.",
	}
	if len(allCores) < 2 {
		list = append(list, "The tool and the proxy shared one core, which affects the figures.")
	}
	return list
}
