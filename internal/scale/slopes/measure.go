package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

// metric is one of the things that are measured at each size.
type metric int

const (
	idleMemory   metric = iota // MB
	idleCPU                    // µs/s
	idleBytes                  // B/s
	useMemory                  // MB
	useCPU                     // µs/s
	useBytes                   // B/s
	callCPU                    // µs for each call
	useChangeCPU               // µs for each change while there are calls
	changeCPU                  // µs for each change
	changeBytes                // B for each change
	wholeCPU                   // µs for each whole list
	wholeBytes                 // B for each whole list
	restartTime                // ms
	restartCPU                 // ms
	restartBytes               // kB
	metrics
)

// point is what was measured at one size of the list.
type point struct {
	size             int
	calls, notServed int // while in use
	samples          [metrics][]float64
}

func (p *point) add(m metric, value float64) { p.samples[m] = append(p.samples[m], value) }

func (p *point) value(m metric) float64 { return scale.Median(p.samples[m]) }

const (
	megabyte = 1e6
	kilobyte = 1e3
)

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureAll takes the points of all sizes. The proxies of all sizes live side by side and are measured in turn, in
// rounds that go up and down, so that a machine that is faster at one time than at another does not bend the lines.
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
	if err := eachInTurn(subjects, p.starts, func(s *subject) error { return s.restart(ctx) }); err != nil {
		return nil, fmt.Errorf("restart: %w", err)
	}
	env.Progress("%s: idle", m.name)
	if err := idleTogether(ctx, p, subjects); err != nil {
		return nil, fmt.Errorf("idle: %w", err)
	}
	err := eachInTurn(subjects, p.rounds, func(s *subject) error {
		env.Progress("%s: changes and calls with %d backends listed", m.name, s.point.size)
		return errors.Join(s.lists(ctx), s.inUse(ctx))
	})
	points := make([]*point, len(subjects))
	for i, s := range subjects {
		points[i] = &s.point
	}
	return points, err
}

// eachInTurn does the work of every subject in several rounds, every other one in reverse.
func eachInTurn(subjects []*subject, rounds int, work func(*subject) error) error {
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

// restart starts the proxy anew.
func (s *subject) restart(ctx context.Context) error {
	ready, used, err := s.start(ctx)
	if err != nil {
		return err
	}
	s.point.add(restartTime, milliseconds(ready))
	s.point.add(restartCPU, milliseconds(used.cpu))
	s.point.add(restartBytes, float64(used.bytes)/kilobyte)
	return nil
}

// idleTogether looks at all proxies while nothing happens.
func idleTogether(ctx context.Context, p plan, subjects []*subject) error {
	last := subjects[len(subjects)-1]
	if err := last.wait(ctx, p.settle); err != nil {
		return err
	}
	begins := make([]mark, len(subjects))
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
		if s.idle, err = s.since(begins[i]); err != nil {
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

// addMemory notes the proxy's resident memory in megabytes.
func (s *subject) addMemory(m metric) error {
	usage, err := s.proxy.Usage()
	s.point.add(m, float64(usage.Resident)/megabyte)
	return err
}

// lists measures single changes and whole lists. What an idle proxy uses is taken off.
func (s *subject) lists(ctx context.Context) error {
	used, err := s.during(func() error { return s.change(ctx) })
	if err != nil {
		return fmt.Errorf("changes: %w", err)
	}
	changes := float64(s.plan.changes)
	used = used.less(s.idle)
	s.point.add(changeCPU, microseconds(used.cpu)/changes)
	s.point.add(changeBytes, float64(used.bytes)/changes)
	if used, err = s.during(func() error { return s.renew(ctx) }); err != nil {
		return fmt.Errorf("whole lists: %w", err)
	}
	whole := float64(s.plan.wholeLists)
	used = used.less(s.idle)
	s.point.add(wholeCPU, microseconds(used.cpu)/whole)
	s.point.add(wholeBytes, float64(used.bytes)/whole)
	return nil
}

// inUse measures calls, and then changes while there are calls.
func (s *subject) inUse(ctx context.Context) error {
	client := traffic.NewClient(s.proxy.Address)
	defer client.Close()
	if _, _, err := s.load(ctx, client, s.plan.warmUp); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	perCall, err := s.calls(ctx, client)
	if err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	if err := s.changesInUse(ctx, client, perCall); err != nil {
		return fmt.Errorf("changes in use: %w", err)
	}
	return nil
}

// calls measures calls alone, and returns the processor time of one.
func (s *subject) calls(ctx context.Context, client *traffic.Client) (time.Duration, error) {
	var calls, notServed int
	used, err := s.during(func() (err error) {
		calls, notServed, err = s.load(ctx, client, s.plan.use)
		return err
	})
	if err != nil {
		return 0, err
	}
	if calls == notServed {
		return 0, fmt.Errorf("none of %d was served", calls)
	}
	s.point.calls += calls
	s.point.notServed += notServed
	cpu, bytes := used.perSecond()
	perCall := used.less(s.idle).cpu / time.Duration(calls)
	s.point.add(useCPU, microseconds(cpu))
	s.point.add(useBytes, bytes)
	s.point.add(callCPU, microseconds(perCall))
	return perCall, s.addMemory(useMemory)
}

// changesInUse measures changes while calls go on, whose own cost is taken off.
func (s *subject) changesInUse(ctx context.Context, client *traffic.Client, perCall time.Duration) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	type made struct {
		calls int
		err   error
	}
	loaded := make(chan made, 1)
	var load made
	used, err := s.during(func() error {
		go func() {
			calls, _, err := s.load(loadCtx, client, time.Hour)
			loaded <- made{calls, err}
		}()
		err := s.change(ctx)
		stop()
		load = <-loaded
		return err
	})
	if err != nil {
		return err
	}
	if !errors.Is(load.err, context.Canceled) { // it was to be ended
		return load.err
	}
	cpu := used.less(s.idle).cpu - perCall*time.Duration(load.calls)
	s.point.add(useChangeCPU, microseconds(cpu)/float64(s.plan.changes))
	return nil
}
