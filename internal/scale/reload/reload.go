// Package reload measures how long a changed configuration takes to be in force at many real proxies, as seen by their
// clients, its cost, and whether calls fail meanwhile.
package reload

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment is the experiment.
var Experiment = scale.Experiment{
	Name:       "reload",
	Summary:    "time until a changed configuration is in force at many real proxies, without a restart",
	NeedsProxy: true,
	Run:        run,
}

// plan is the extent of a run.
type plan struct {
	proxies        int
	backends       int           // on the endpoint list
	changes        int           // of the configuration of all proxies
	timeout        time.Duration // until a proxy counts as one that does not apply the change
	pollInterval   time.Duration // of the calls that find out whether a proxy knows the added class
	rate           float64       // calls a second through each proxy
	settle         time.Duration // before the first change and after each
	reloads        int           // of one proxy, to measure their CPU time
	reloadInterval time.Duration // between two of these reloads
}

func fullPlan() plan {
	return plan{proxies: 60, backends: 100, changes: 5, timeout: 10 * time.Second, pollInterval: 25 * time.Millisecond,
		rate: 2, settle: time.Second, reloads: 50, reloadInterval: 50 * time.Millisecond}
}

func smallPlan() plan {
	return plan{proxies: 4, backends: 10, changes: 2, timeout: 10 * time.Second, pollInterval: 10 * time.Millisecond,
		rate: 5, settle: 200 * time.Millisecond, reloads: 10, reloadInterval: 20 * time.Millisecond}
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan()
	if env.Small {
		p = smallPlan()
	}
	return runPlan(ctx, env, p)
}

func runPlan(ctx context.Context, env scale.Env, p plan) (scale.Result, error) {
	env.Progress("%d proxies start", p.proxies)
	f, err := startFleet(ctx, env, p)
	if err != nil {
		return scale.Result{}, err
	}
	defer f.close()
	var m measurement
	if err := f.withLoad(ctx, &m, func() error { return f.changeAll(ctx, &m) }); err != nil {
		return scale.Result{}, err
	}
	env.Progress("one proxy, %d reloads", p.reloads)
	if m.reloadCPU, err = f.reloadCost(ctx); err != nil {
		return scale.Result{}, fmt.Errorf("cost of a reload: %w", err)
	}
	return scale.Result{Figures: m.figures(p), Notes: notes(p, env.Cores)}, nil
}

func notes(p plan, cores []int) []string {
	return []string{
		fmt.Sprintf("%d proxies and the tool shared cores %v; %d backends were listed; %g calls/s through each proxy.",
			p.proxies, cores, p.backends, p.rate),
		"Time counts from the first signal, when all files have been replaced; the signals are sent one after the other. The " +
			"transfer of a file to its machine is not measured, and all files share one disk here.",
		fmt.Sprintf("A change is in force at a proxy once it knows the class that only the changed settings have. It is polled "+
			"every %v for %v, which is the time of a proxy that does not know it by then.", p.pollInterval, p.timeout),
		"Bytes are those of the file that each proxy reads.",
	}
}
