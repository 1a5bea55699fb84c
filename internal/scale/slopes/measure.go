package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernlanding/internal/scale"
	"fernlanding/internal/scale/traffic"
)

// point is what was measured at one size of the list.
type point struct {
	size             int
	calls, notServed int // while in use

	restartMs, restartCPUMs, restartKB float64
	idleMB, idleCPUUs, idleBytes       float64 // memory, and each second's cost
	changeCPUUs, changeBytes           float64 // of one change
	wholeCPUUs, wholeBytes             float64 // of one whole list
	useMB, useCPUMs, useBytes          float64 // memory, and each second's cost
	callCPUUs, useChangeCPUUs          float64 // of one call, and of one change while there are calls
}

const (
	megabyte = 1e6
	kilobyte = 1e3
)

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure takes one point.
func measure(ctx context.Context, env scale.Env, p plan, m mode, size int, cores []int) (at point, err error) {
	s, err := newSubject(env, p, m, size, cores)
	if err != nil {
		return at, err
	}
	defer s.close()
	at.size = size
	if err := s.restarts(ctx, &at); err != nil {
		return at, fmt.Errorf("restart: %w", err)
	}
	idle, err := s.idle(ctx, &at)
	if err != nil {
		return at, fmt.Errorf("idle: %w", err)
	}
	if err := s.lists(ctx, &at, idle); err != nil {
		return at, fmt.Errorf("changes: %w", err)
	}
	if err := s.inUse(ctx, &at, idle); err != nil {
		return at, fmt.Errorf("in use: %w", err)
	}
	return at, nil
}

func (s *subject) restarts(ctx context.Context, at *point) error {
	var ready, cpu, bytes []float64
	for range s.plan.starts {
		took, used, err := s.start(ctx)
		if err != nil {
			return err
		}
		ready = append(ready, milliseconds(took))
		cpu = append(cpu, milliseconds(used.cpu))
		bytes = append(bytes, float64(used.bytes)/kilobyte)
	}
	at.restartMs, at.restartCPUMs, at.restartKB = scale.Median(ready), scale.Median(cpu), scale.Median(bytes)
	return nil
}

func (s *subject) idle(ctx context.Context, at *point) (cost, error) {
	if err := s.wait(ctx, s.plan.settle); err != nil {
		return cost{}, err
	}
	used, err := s.during(func() error { return s.wait(ctx, s.plan.idle) })
	if err != nil {
		return used, err
	}
	cpu, bytes := used.perSecond()
	at.idleCPUUs, at.idleBytes = microseconds(cpu), bytes
	at.idleMB, err = s.memory()
	return used, err
}

// memory gives the proxy's resident memory in megabytes.
func (s *subject) memory() (float64, error) {
	usage, err := s.proxy.Usage()
	return float64(usage.Resident) / megabyte, err
}

// lists measures single changes and whole lists. What an idle proxy uses is taken off.
func (s *subject) lists(ctx context.Context, at *point, idle cost) error {
	used, err := s.during(func() error { return s.change(ctx) })
	if err != nil {
		return err
	}
	changes := float64(s.plan.changes)
	used = used.less(idle)
	at.changeCPUUs, at.changeBytes = microseconds(used.cpu)/changes, float64(used.bytes)/changes
	if used, err = s.during(func() error { return s.renew(ctx) }); err != nil {
		return err
	}
	whole := float64(s.plan.wholeLists)
	used = used.less(idle)
	at.wholeCPUUs, at.wholeBytes = microseconds(used.cpu)/whole, float64(used.bytes)/whole
	return nil
}

// inUse measures calls, and changes while there are calls.
func (s *subject) inUse(ctx context.Context, at *point, idle cost) error {
	client := traffic.NewClient(s.proxy.Address)
	defer client.Close()
	if _, _, err := s.load(ctx, client, s.plan.warmUp); err != nil {
		return err
	}
	used, err := s.during(func() (err error) {
		at.calls, at.notServed, err = s.load(ctx, client, s.plan.use)
		return err
	})
	if err != nil {
		return err
	}
	if at.calls == at.notServed {
		return fmt.Errorf("none of %d calls was served", at.calls)
	}
	cpu, bytes := used.perSecond()
	at.useCPUMs, at.useBytes = milliseconds(cpu), bytes
	at.callCPUUs = microseconds(used.less(idle).cpu) / float64(at.calls)
	if at.useMB, err = s.memory(); err != nil {
		return err
	}
	return s.changesInUse(ctx, at, client, idle)
}

// changesInUse measures changes while calls go on, whose own cost is taken off.
func (s *subject) changesInUse(ctx context.Context, at *point, client *traffic.Client, idle cost) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	type made struct {
		calls int
		err   error
	}
	loaded := make(chan made, 1)
	var calls int
	used, err := s.during(func() error {
		go func() {
			calls, _, err := s.load(loadCtx, client, time.Hour)
			loaded <- made{calls, err}
		}()
		err := s.change(ctx)
		stop()
		load := <-loaded
		calls = load.calls
		if err == nil && !errors.Is(load.err, context.Canceled) {
			err = load.err
		}
		return err
	})
	if err != nil {
		return err
	}
	cpu := microseconds(used.less(idle).cpu) - at.callCPUUs*float64(calls)
	at.useChangeCPUUs = cpu / float64(s.plan.changes)
	return nil
}
