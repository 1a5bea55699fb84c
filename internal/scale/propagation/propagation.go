// Package propagation measures how long changes of endpoint lists take until they are in force at every proxy that
// watches the list, and the load of the watches on the discovery service. The proxies are hollow ones, with a few
// real ones; the service is that of package registry. Scenarios with several faults run with pushed and with polled
// lists.
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

// Experiment is the experiment.
var Experiment = scale.Experiment{
	Name:    "propagation",
	Summary: "time from a change's acceptance to in force at the last proxy, and the load on discovery",
	Run:     run,
}

// job is one scenario with pushed or polled lists.
type job struct {
	scenario scenario
	poll     bool
	seed     uint64
}

// name is the Case of the job's figures.
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
	size.parallel = min(size.parallel, jobsAtOnce(size))
	return runJobs(ctx, env, size, allJobs(env.Seed))
}

// jobsAtOnce returns how many jobs the limit of file descriptors allows at once, at least one.
func jobsAtOnce(size size) int {
	const perProxy = 4 // a listener, both ends of a connection, and sometimes those of a second one
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1
	}
	return int(max(1, min(limit.Cur/uint64(perProxy*size.proxies), math.MaxInt32)))
}

// runJobs runs jobs over TCP, and returns their figures in order of the jobs.
func runJobs(ctx context.Context, env scale.Env, size size, jobs []job) (scale.Result, error) {
	figures := make([][]scale.Figure, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(size.parallel)
	for i, j := range jobs {
		group.Go(func() error {
			env.Progress("%s: begins", j.name())
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
		for _, ask := range []bool{true, false} {
			jobs = append(jobs, job{scenario: s, poll: ask, seed: random.Uint64()})
		}
	}
	return jobs
}

// run runs the scenario with a new fleet.
func (j job) run(ctx context.Context, env scale.Env, size size, network network) (*measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	f, err := newFleet(ctx, fleetConfig{job: j, size: size, network: network})
	if err != nil {
		cancel()
		return nil, err
	}
	defer f.close()
	defer cancel() // before the service closes
	if err := f.startUp(ctx); err != nil {
		return nil, err
	}
	if env.ProxyProgram != "" && j.scenario.hasRealProxies() {
		if err := f.startReal(ctx, env); err != nil {
			return nil, err
		}
	}
	f.beginLoad()
	changes := f.publishChanges(ctx)
	if err := j.scenario.run(ctx, f); err != nil {
		return nil, err
	}
	if err := changes.stop(); err != nil {
		return nil, err
	}
	f.endLoad()
	f.waitUntilInForce(ctx)
	return f.measurement(), ctx.Err()
}
