// Package propagation measures how long changes of the lists of backends take until they are in force at every proxy
// that watches the list, and what the proxies' watches cost the discovery service. The proxies are hollow ones, a few real ones beside them, the
// service is the stand-in of package registry; both membership modes and a number of faults are played.
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

// Experiment is the measurement, for the scale tool.
var Experiment = scale.Experiment{
	Name:    "propagation",
	Summary: "time from a change's acceptance to in force at the last proxy, and the load on discovery",
	Run:     run,
}

// job is one scenario in one membership mode.
type job struct {
	scenario scenario
	ask      bool
	seed     uint64
}

// name is the Case of the job's figures.
func (j job) name() string {
	if j.ask {
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

// jobsAtOnce is how many jobs the limit of file descriptors lets run at once, and one at least.
func jobsAtOnce(size size) int {
	const perProxy = 4 // a listener, both ends of a connection, and at times those of a second one
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1
	}
	return int(max(1, min(limit.Cur/uint64(perProxy*size.proxies), math.MaxInt32)))
}

// runJobs plays jobs over TCP and gives their figures in the order of the jobs.
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

// allJobs gives every scenario in both modes, each with a seed of its own.
func allJobs(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 0))
	var jobs []job
	for _, s := range scenarios() {
		for _, ask := range []bool{true, false} {
			jobs = append(jobs, job{scenario: s, ask: ask, seed: random.Uint64()})
		}
	}
	return jobs
}

// run plays the scenario on a fleet of its own.
func (j job) run(ctx context.Context, env scale.Env, size size, network network) (*measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	f, err := newFleet(ctx, fleetConfig{job: j, size: size, network: network})
	if err != nil {
		cancel()
		return nil, err
	}
	defer f.close()
	defer cancel() // first: what runs ends before the service does
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
	if err := j.scenario.play(ctx, f); err != nil {
		return nil, err
	}
	if err := changes.stop(); err != nil {
		return nil, err
	}
	f.endLoad()
	f.awaitAllInForce(ctx)
	return f.measured(), ctx.Err()
}
