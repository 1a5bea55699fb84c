package timing

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"baylock/internal/microtime"
)

// The test compares a queue with a plain list under random additions, reschedulings, removals and takes.
func TestQueueTakesTimersInOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var queue Queue[int]
	var queued []*Timer[int]
	for step := range 20_000 {
		due := microtime.Microseconds(random.Int64N(1000))
		switch random.IntN(5) {
		case 0, 1:
			timer := NewTimer(due, step)
			queue.Add(timer)
			queued = append(queued, timer)
		case 2:
			if len(queued) > 0 {
				queue.Reschedule(queued[random.IntN(len(queued))], due)
			}
		case 3:
			if len(queued) > 0 {
				i := random.IntN(len(queued))
				queue.Remove(queued[i])
				queue.Remove(queued[i]) // has no effect on a timer that is not queued
				queue.Reschedule(queued[i], due)
				queued = slices.Delete(queued, i, i+1)
			}
		case 4:
			taken := queue.TakeDue(due)
			first := slices.MinFunc(append(queued, NewTimer(due+1, -1)), func(a, b *Timer[int]) int { return int(a.Due() - b.Due()) })
			if taken == nil && first.Due() <= due || taken != nil && taken.Due() != first.Due() {
				t.Fatalf("step %d: took %v, want %v", step, taken, first)
			}
			queued = slices.DeleteFunc(queued, func(h *Timer[int]) bool { return h == taken })
		}
		if next, ok := queue.Next(); queue.Len() != len(queued) || ok != (len(queued) > 0) ||
			ok && slices.ContainsFunc(queued, func(h *Timer[int]) bool { return h.Due() < next }) {
			t.Fatalf("step %d: %d timers, %d queued, next at %d", step, queue.Len(), len(queued), next)
		}
	}
}

func TestClockFollowsUnixTime(t *testing.T) {
	clock := NewClock()
	before := time.Now()
	at := clock.At(before.Add(1500 * time.Microsecond))
	if d := at - microtime.Microseconds(before.UnixMicro()); d < 1499 || d > 1501 {
		t.Errorf("At is %d us after the Unix time, want about 1500", d)
	}
	if back := clock.Time(at).Sub(before); back < 1499*time.Microsecond || back > 1501*time.Microsecond {
		t.Errorf("Time(At(t)) is %v after the reference time, want about 1.5ms", back)
	}
	if now := clock.Now(); now < clock.At(before) {
		t.Errorf("Now is %d us before an earlier time", clock.At(before)-now)
	}
}

// Guards against a loop that spins because a timer that is never due seems to be overdue.
func TestClockKeepsUnlimitedTimeInFuture(t *testing.T) {
	clock := NewClock()
	if wait := time.Until(clock.Time(math.MaxInt64)); wait < 24*time.Hour {
		t.Errorf("the time is %v away", wait)
	}
}

func TestWaitReturnsErrorOfEndedContext(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx  context.Context
		wait time.Duration
		want error
	}{
		"time passes":                {context.Background(), time.Millisecond, nil},
		"no time":                    {context.Background(), 0, nil},
		"context cancelled":          {cancelled, time.Hour, context.Canceled},
		"context cancelled, no time": {cancelled, 0, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Wait(c.ctx, c.wait); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
