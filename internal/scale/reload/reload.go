// Package reload measures how long a changed configuration takes to be in force at many real proxies, as seen by their
// clients, how much CPU time a reload costs, and whether calls fail meanwhile.
package reload

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment changes the configuration of all proxies several times while they serve calls.
var Experiment = scale.Experiment{
	Name:       "reload",
	Summary:    "time until a changed configuration is in force at many real proxies, without a restart",
	NeedsProxy: true,
	Run:        run,
}

// plan configures the extent of a run.
type plan struct {
	proxies        int
	backends       int           // on the endpoint list
	changes        int           // number of changes to the configuration of all proxies
	timeout        time.Duration // after which a change counts as not in force at a proxy
	pollInterval   time.Duration // between two calls that check whether a proxy knows the added class
	rate           float64       // calls per second through each proxy
	settle         time.Duration // pause before the first change and after each change
	reloads        int           // number of reloads of one proxy, to measure their CPU time
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
	env.Progress("starting %d proxies", p.proxies)
	f, err := startFleet(ctx, env, p)
	if err != nil {
		return scale.Result{}, err
	}
	defer f.close()
	var m measurement
	if err := f.withLoad(ctx, &m, func() error { return f.runChanges(ctx, &m) }); err != nil {
		return scale.Result{}, err
	}
	env.Progress("measuring %d reloads of one proxy", p.reloads)
	if m.reloadCPU, err = f.measureReloadCPU(ctx); err != nil {
		return scale.Result{}, fmt.Errorf("cost of a reload: %w", err)
	}
	return scale.Result{Figures: m.figures(p), Notes: notes(p, env.Cores)}, nil
}

func notes(p plan, cores []int) []string {
	return []string{
		fmt.Sprintf("%d proxies and the tool shared cores %v; %d backends were listed; %g calls/s through each proxy.",
			p.proxies, cores, p.backends, p.rate),
		"Time counts from the first signal, after all files have been replaced; signals are sent one after the other. The " +
			"transfer of a file to its machine is not measured, and all files are on one disk here.",
		fmt.Sprintf("A change is in force at a proxy once the proxy knows the class that the change adds. Each proxy is polled "+
			"every %v for up to %v, which is the time recorded for a proxy that does not know the class by then.",
			p.pollInterval, p.timeout),
		"Bytes to each proxy are the size of the configuration file that it reads.",
	}
}
