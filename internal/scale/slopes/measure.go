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
	idleMemory     metric = iota // MB
	idleCPU                      // µs/s
	idleBytes                    // B/s
	inUseMemory                  // MB
	inUseCPU                     // µs/s
	inUseBytes                   // B/s
	callCPU                      // µs per call
	inUseChangeCPU               // µs per change, under load
	changeCPU                    // µs per change
	changeBytes                  // B per change
	snapshotCPU                  // µs per snapshot
	snapshotBytes                // B per snapshot
	restartTime                  // ms
	restartCPU                   // ms
	restartBytes                 // kB
	metricCount
)

// point holds the measurements at one list size.
type point struct {
	size          int
	calls, failed int // calls made while in use, and how many of them failed
	samples       [metricCount][]float64
}

func (p *point) add(m metric, value float64) { p.samples[m] = append(p.samples[m], value) }

// value returns the median of a metric's samples.
func (p *point) value(m metric) float64 { return scale.Median(p.samples[m]) }

const (
	megabyte = 1e6
	kilobyte = 1e3
)

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureAll measures all list sizes. Their proxies run at the same time and are measured one after the other, in
// rounds of alternately increasing and decreasing size, so that a drift in the machine's speed does not distort the
// fitted lines.
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
	env.Progress("%s: measuring restarts", m.name)
	restart := func(s *subject) error { return s.measureRestart(ctx) }
	if err := forEachAlternating(subjects, p.starts, restart); err != nil {
		return nil, fmt.Errorf("restart: %w", err)
	}
	env.Progress("%s: measuring idle proxies", m.name)
	if err := measureIdle(ctx, p, subjects); err != nil {
		return nil, fmt.Errorf("idle: %w", err)
	}
	err := forEachAlternating(subjects, p.rounds, func(s *subject) error {
		env.Progress("%s: measuring changes and calls with %d backends listed", m.name, s.point.size)
		return errors.Join(s.measureLists(ctx), s.measureInUse(ctx))
	})
	points := make([]*point, len(subjects))
	for i, s := range subjects {
		points[i] = &s.point
	}
	return points, err
}

// forEachAlternating calls work for each subject in several rounds. Every other round runs in reverse order.
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

// measureRestart starts or restarts the proxy and records the time and the cost until it is ready.
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

// measureIdle measures all proxies at the same time while they are idle.
func measureIdle(ctx context.Context, p plan, subjects []*subject) error {
	last := subjects[len(subjects)-1]
	if err := last.wait(ctx, p.settle); err != nil {
		return err
	}
	checkpoints := make([]checkpoint, len(subjects))
	var err error
	for i, s := range subjects {
		if checkpoints[i], err = s.beginMeasurement(); err != nil {
			return err
		}
	}
	if err := last.wait(ctx, p.idle); err != nil {
		return err
	}
	for i, s := range subjects {
		if s.idle, err = s.costSince(checkpoints[i]); err != nil {
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

// measureLists measures single changes and snapshots. It subtracts the cost of an idle proxy.
func (s *subject) measureLists(ctx context.Context) error {
	used, err := s.costOf(func() error { return s.publishChanges(ctx) })
	if err != nil {
		return fmt.Errorf("changes: %w", err)
	}
	changes := float64(s.plan.changes)
	used = used.minus(s.idle)
	s.point.add(changeCPU, microseconds(used.cpu)/changes)
	s.point.add(changeBytes, float64(used.bytes)/changes)
	if used, err = s.costOf(func() error { return s.forceSnapshots(ctx) }); err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	snapshots := float64(s.plan.snapshots)
	used = used.minus(s.idle)
	s.point.add(snapshotCPU, microseconds(used.cpu)/snapshots)
	s.point.add(snapshotBytes, float64(used.bytes)/snapshots)
	return nil
}

// measureInUse measures calls alone, and then changes under load.
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
		return fmt.Errorf("changes under load: %w", err)
	}
	return nil
}

// measureCalls measures calls alone and returns the CPU time per call.
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
		return 0, fmt.Errorf("none of %d calls was served", calls)
	}
	s.point.calls += calls
	s.point.failed += failed
	cpu, bytes := used.perSecond()
	perCall := used.minus(s.idle).cpu / time.Duration(calls)
	s.point.add(inUseCPU, microseconds(cpu))
	s.point.add(inUseBytes, bytes)
	s.point.add(callCPU, microseconds(perCall))
	return perCall, s.addMemory(inUseMemory)
}

// measureChangesInUse measures changes under load. It subtracts the cost of an idle proxy and of the calls.
func (s *subject) measureChangesInUse(ctx context.Context, client *traffic.Client, perCall time.Duration) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	type loadResult struct {
		calls int
		err   error
	}
	results := make(chan loadResult, 1)
	var result loadResult
	used, err := s.costOf(func() error {
		go func() {
			calls, _, err := s.load(loadCtx, client, time.Hour)
			results <- loadResult{calls, err}
		}()
		err := s.publishChanges(ctx)
		stop()
		result = <-results
		return err
	})
	if err != nil {
		return err
	}
	if !errors.Is(result.err, context.Canceled) { // stop cancels the load, so this error is expected
		return result.err
	}
	cpu := used.minus(s.idle).cpu - perCall*time.Duration(result.calls)
	s.point.add(inUseChangeCPU, microseconds(cpu)/float64(s.plan.changes))
	return nil
}
