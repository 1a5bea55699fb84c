package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

// metric is a quantity that is measured at each list size.
type metric int

const (
	idleMemory    metric = iota // MB
	idleCPU                     // µs/s
	idleBytes                   // B/s
	useMemory                   // MB
	useCPU                      // µs/s
	useBytes                    // B/s
	callCPU                     // µs for each call
	useChangeCPU                // µs for each change, while there are calls
	changeCPU                   // µs for each change
	changeBytes                 // B for each change
	snapshotCPU                 // µs for each snapshot
	snapshotBytes               // B for each snapshot
	restartTime                 // ms
	restartCPU                  // ms
	restartBytes                // kB
	metrics
)

// point is what is measured at one list size.
type point struct {
	size          int
	calls, failed int // of the calls while in use
	samples       [metrics][]float64
}

func (p *point) add(m metric, value float64) { p.samples[m] = append(p.samples[m], value) }

func (p *point) value(m metric) float64 { return scale.Median(p.samples[m]) }

const (
	megabyte = 1e6
	kilobyte = 1e3
)

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureAll measures all list sizes. Their proxies run at the same time and are measured in turn, in rounds up and
// down, so that changes of the machine's speed do not bend the lines.
func measureAll(ctx context.Context, env scale.Env, p plan, m mode, cores []int) ([]*point, error) {
	var subjects []*subject
	defer func() {
		for _, s := range subjects {
			s.close()
		}
	}()
	for _, size := range p.sizes {
		s, err := newSubject(env, p, m, size, cores)
		if err != nil {
			return nil, err
		}
		subjects = append(subjects, s)
	}
	env.Progress("%s: restarts", m.name)
	restart := func(s *subject) error { return s.measureRestart(ctx) }
	if err := forEachAlternating(subjects, p.starts, restart); err != nil {
		return nil, fmt.Errorf("restart: %w", err)
	}
	env.Progress("%s: idle", m.name)
	if err := measureIdle(ctx, p, subjects); err != nil {
		return nil, fmt.Errorf("idle: %w", err)
	}
	err := forEachAlternating(subjects, p.rounds, func(s *subject) error {
		env.Progress("%s: changes and calls with %d backends listed", m.name, s.point.size)
		return errors.Join(s.measureLists(ctx), s.measureInUse(ctx))
	})
	points := make([]*point, len(subjects))
	for i, s := range subjects {
		points[i] = &s.point
	}
	return points, err
}

// forEachAlternating calls work for each subject in several rounds, every other one in reverse order.
func forEachAlternating(subjects []*subject, rounds int, work func(*subject) error) error {
	for round := range rounds {
		for i := range subjects {
			if round%2 == 1 {
				i = len(subjects) - 1 - i
			}
			if err := work(subjects[i]); err != nil {
				return fmt.Errorf("%d backends listed: %w", subjects[i].point.size, err)
			}
		}
	}
	return nil
}

// measureRestart measures a restart of the proxy.
func (s *subject) measureRestart(ctx context.Context) error {
	ready, used, err := s.start(ctx)
	if err != nil {
		return err
	}
	s.point.add(restartTime, milliseconds(ready))
	s.point.add(restartCPU, milliseconds(used.cpu))
	s.point.add(restartBytes, float64(used.bytes)/kilobyte)
	return nil
}

// measureIdle measures all proxies while they are idle.
func measureIdle(ctx context.Context, p plan, subjects []*subject) error {
	last := subjects[len(subjects)-1]
	if err := last.wait(ctx, p.settle); err != nil {
		return err
	}
	begins := make([]checkpoint, len(subjects))
	var err error
	for i, s := range subjects {
		if begins[i], err = s.begin(); err != nil {
			return err
		}
	}
	if err := last.wait(ctx, p.idle); err != nil {
		return err
	}
	for i, s := range subjects {
		if s.idle, err = s.costSince(begins[i]); err != nil {
			return err
		}
		cpu, bytes := s.idle.perSecond()
		s.point.add(idleCPU, microseconds(cpu))
		s.point.add(idleBytes, bytes)
		if err := s.addMemory(idleMemory); err != nil {
			return err
		}
	}
	return nil
}

// addMemory records the proxy's resident memory in megabytes.
func (s *subject) addMemory(m metric) error {
	usage, err := s.proxy.Usage()
	s.point.add(m, float64(usage.Resident)/megabyte)
	return err
}

// measureLists measures single changes and snapshots, less the cost of an idle proxy.
func (s *subject) measureLists(ctx context.Context) error {
	used, err := s.costOf(func() error { return s.publishChanges(ctx) })
	if err != nil {
		return fmt.Errorf("changes: %w", err)
	}
	changes := float64(s.plan.changes)
	used = used.minus(s.idle)
	s.point.add(changeCPU, microseconds(used.cpu)/changes)
	s.point.add(changeBytes, float64(used.bytes)/changes)
	if used, err = s.costOf(func() error { return s.requestSnapshots(ctx) }); err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	snapshots := float64(s.plan.snapshots)
	used = used.minus(s.idle)
	s.point.add(snapshotCPU, microseconds(used.cpu)/snapshots)
	s.point.add(snapshotBytes, float64(used.bytes)/snapshots)
	return nil
}

// measureInUse measures calls, and then changes while there are calls.
func (s *subject) measureInUse(ctx context.Context) error {
	client := traffic.NewClient(s.proxy.Address)
	defer client.Close()
	if _, _, err := s.load(ctx, client, s.plan.warmUp); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	perCall, err := s.measureCalls(ctx, client)
	if err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if err := s.measureChangesInUse(ctx, client, perCall); err != nil {
		return fmt.Errorf("changes in use: %w", err)
	}
	return nil
}

// measureCalls measures calls alone, and returns the CPU time of one.
func (s *subject) measureCalls(ctx context.Context, client *traffic.Client) (time.Duration, error) {
	var calls, failed int
	used, err := s.costOf(func() (err error) {
		calls, failed, err = s.load(ctx, client, s.plan.inUse)
		return err
	})
	if err != nil {
		return 0, err
	}
	if calls == failed {
		return 0, fmt.Errorf("none of %d was served", calls)
	}
	s.point.calls += calls
	s.point.failed += failed
	cpu, bytes := used.perSecond()
	perCall := used.minus(s.idle).cpu / time.Duration(calls)
	s.point.add(useCPU, microseconds(cpu))
	s.point.add(useBytes, bytes)
	s.point.add(callCPU, microseconds(perCall))
	return perCall, s.addMemory(useMemory)
}

// measureChangesInUse measures changes while there are calls, less the cost of the calls.
func (s *subject) measureChangesInUse(ctx context.Context, client *traffic.Client, perCall time.Duration) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	type made struct {
		calls int
		err   error
	}
	loaded := make(chan made, 1)
	var load made
	used, err := s.costOf(func() error {
		go func() {
			calls, _, err := s.load(loadCtx, client, time.Hour)
			loaded <- made{calls, err}
		}()
		err := s.publishChanges(ctx)
		stop()
		load = <-loaded
		return err
	})
	if err != nil {
		return err
	}
	if !errors.Is(load.err, context.Canceled) { // the cancellation is intended
		return load.err
	}
	cpu := used.minus(s.idle).cpu - perCall*time.Duration(load.calls)
	s.point.add(useChangeCPU, microseconds(cpu)/float64(s.plan.changes))
	return nil
}
