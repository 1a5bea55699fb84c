package traffic

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	maxOpenCalls = 4096                  // at the same time
	maxSleep     = 50 * time.Millisecond // bounds the time until the end of the context is noticed
)

// OpenLoop starts calls at predetermined times, a Poisson process with the given rate a second, regardless of earlier
// calls: a slow response delays no other call, and latency counted from the intended time includes all waiting. It
// returns the number of calls once the last one has ended.
func OpenLoop(ctx context.Context, rate float64, length time.Duration, random *rand.Rand,
	call func(number int, intended time.Time)) (int, error) {
	calls := newOpenCalls()
	defer calls.running.Wait()
	// The runtime's timers are up to a millisecond late. A locked thread can sleep more precisely.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	disableTimerSlack()
	began, next := time.Now(), time.Duration(0)
	for number := 0; ; number++ {
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if next >= length {
			return number, nil
		}
		intended := began.Add(next)
		if !sleepUntil(ctx, intended) {
			return number, context.Cause(ctx)
		}
		if err := calls.start(func() { call(number, intended) }); err != nil {
			return number, err
		}
	}
}

// openCalls are the calls that have started and not ended.
type openCalls struct {
	running sync.WaitGroup
	slots   chan struct{} // one element for each of them
}

func newOpenCalls() *openCalls { return &openCalls{slots: make(chan struct{}, maxOpenCalls)} }

var errTooManyOpen = errors.New("the load has thousands of calls open: answers come more slowly than calls")

// start makes a call on a goroutine of its own, unless too many are open.
func (o *openCalls) start(call func()) error {
	select {
	case o.slots <- struct{}{}:
	default:
		return errTooManyOpen
	}
	o.running.Go(func() {
		defer func() { <-o.slots }()
		call()
	})
	return nil
}

// sleepUntil sleeps until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, instant time.Time) bool {
	for {
		left := time.Until(instant)
		if ctx.Err() != nil {
			return false
		}
		if left <= 0 {
			return true
		}
		span := syscall.NsecToTimespec(int64(min(left, maxSleep)))
		_ = syscall.Nanosleep(&span, nil) // if interrupted, the loop continues
	}
}

// disableTimerSlack makes the kernel wake this thread on time, not together with later timers.
func disableTimerSlack() {
	const setTimerSlack, nanosecond = 29, 1                                       // PR_SET_TIMERSLACK
	_, _, _ = syscall.RawSyscall(syscall.SYS_PRCTL, setTimerSlack, nanosecond, 0) // an error means up to 50 µs longer sleeps
}
