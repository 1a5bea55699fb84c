// Package propagation measures the time from the acceptance of a change of an endpoint list until the change is in
// force at every proxy that watches the list, and the load of the watches on the discovery service. Most proxies
// are hollow, a few are real; package registry emulates the discovery service. There are several scenarios with
// faults or starts of proxies, and one without; each runs once with pushed and once with polled lists.
package propagation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"

	"golang.org/x/sync/errgroup"

	"baylock/internal/scale"
)

// Experiment runs all scenarios, each with pushed and with polled lists.
var Experiment = scale.Experiment{
	Name:    "propagation",
	Summary: "time from a change's acceptance until it is in force at every proxy, and the load on discovery",
	Run:     run,
}

// job is a run of one scenario with either pushed or polled lists.
type job struct {
	scenario scenario
	poll     bool
	seed     uint64
}

// name is the Case of the job's figures, in which "asked" means that lists are polled.
func (j job) name() string {
	if j.poll {
		return "asked, " + j.scenario.name
	}
	return "pushed, " + j.scenario.name
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	size := fullSize()
	if env.Small {
		size = smallSize()
	}
	size.parallel = min(size.parallel, maxParallelJobs(size))
	return runJobs(ctx, env, size, allJobs(env.Seed))
}

// maxParallelJobs returns how many jobs can run in parallel within the limit of file descriptors. It is at least 1.
func maxParallelJobs(size size) int {
	const perProxy = 4 // a listener, both ends of a connection, and one to spare, as some have a second connection
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1
	}
	return int(max(1, min(limit.Cur/uint64(perProxy*size.proxies), math.MaxInt32)))
}

// runJobs runs jobs over TCP, and returns their figures in the order of the jobs.
func runJobs(ctx context.Context, env scale.Env, size size, jobs []job) (scale.Result, error) {
	figures := make([][]scale.Figure, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(size.parallel)
	for i, j := range jobs {
		group.Go(func() error {
			env.Progress("%s: started", j.name())
			measured, err := j.run(ctx, env, size, overTCP)
			if err != nil {
				return fmt.Errorf("%s: %w", j.name(), err)
			}
			figures[i] = measured.figures(j.name())
			env.Progress("%s: done", j.name())
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return scale.Result{}, err
	}
	return scale.Result{Figures: slices.Concat(figures...), Notes: size.notes()}, nil
}

// allJobs returns a job for every scenario and mode, each with a seed of its own.
func allJobs(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 0))
	var jobs []job
	for _, s := range scenarios() {
		for _, polled := range []bool{true, false} {
			jobs = append(jobs, job{scenario: s, poll: polled, seed: random.Uint64()})
		}
	}
	return jobs
}

// run runs the scenario on a new fleet.
func (j job) run(ctx context.Context, env scale.Env, size size, network network) (*measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	f, err := newFleet(ctx, fleetConfig{job: j, size: size, network: network})
	if err != nil {
		cancel()
		return nil, err
	}
	defer f.close()
	defer cancel() // runs before f.close
	if err := f.startInitialProxies(ctx); err != nil {
		return nil, err
	}
	if env.ProxyProgram != "" && j.scenario.hasRealProxies() {
		if err := f.startRealProxies(ctx, env); err != nil {
			return nil, err
		}
	}
	f.beginLoadPhases()
	changes := f.publishChanges(ctx)
	if err := j.scenario.run(ctx, f); err != nil {
		return nil, err
	}
	if err := changes.stop(); err != nil {
		return nil, err
	}
	f.endLoadPhases()
	f.waitUntilInForce(ctx)
	return f.measurement(), ctx.Err()
}
