// Package reload measures how long a changed configuration takes to be in force at many real proxies, as their clients see
// it, what that costs the proxies, and whether calls are lost meanwhile.
package reload

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment is the measurement.
var Experiment = scale.Experiment{
	Name:       "reload",
	Summary:    "time until a changed configuration is in force at many real proxies, without a restart",
	NeedsProxy: true,
	Run:        run,
}

// plan is how much is measured.
type plan struct {
	proxies   int
	backends  int           // listed
	changes   int           // of the configuration of all proxies
	patience  time.Duration // a proxy that has not taken a change by then is given up
	lookEvery time.Duration // a client asks each proxy for the class that only the changed settings have
	rate      float64       // calls a second through each proxy meanwhile
	settle    time.Duration // of calls before the first change and after each
	reloads   int           // of one proxy, to measure their processor time
	reloadGap time.Duration // between two of these
}

func fullPlan() plan {
	return plan{proxies: 60, backends: 100, changes: 5, patience: 10 * time.Second, lookEvery: 25 * time.Millisecond,
		rate: 2, settle: time.Second, reloads: 50, reloadGap: 50 * time.Millisecond}
}

func smallPlan() plan {
	return plan{proxies: 4, backends: 10, changes: 2, patience: 10 * time.Second, lookEvery: 10 * time.Millisecond,
		rate: 5, settle: 200 * time.Millisecond, reloads: 10, reloadGap: 20 * time.Millisecond}
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
	if err := f.underLoad(ctx, &m, func() error { return f.changeAll(ctx, &m) }); err != nil {
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
		"Time counts from the first signal, when all files have been replaced; the signals go out one after the other. How " +
			"a file comes to its machine is not measured, and all files share one disk here.",
		fmt.Sprintf("A change is in force at a proxy once it knows the class that only the changed settings have. It is asked "+
			"every %v and given up after %v, which then stands for its time.", p.lookEvery, p.patience),
		"Bytes are those of the file that each proxy reads; nothing else travels here.",
	}
}
