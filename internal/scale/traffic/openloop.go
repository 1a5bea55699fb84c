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
	maxOpenCalls = 4096                  // calls that may be open at the same time
	maxSleep     = 50 * time.Millisecond // limits how late the end of the context is noticed
)

// OpenLoop starts calls for the given length of time, as a Poisson process with the given rate per second. The start
// times don't depend on earlier calls: a slow response delays no other call, and a latency measured from the intended
// start time includes all waiting. OpenLoop returns the number of calls once the last one has ended. It stops early
// with an error if the context ends, or if more than maxOpenCalls calls would be open at the same time.
func OpenLoop(ctx context.Context, rate float64, length time.Duration, random *rand.Rand,
	call func(number int, intended time.Time)) (int, error) {
	calls := newOpenCalls()
	defer calls.running.Wait()
	// Timers of the Go runtime fire up to a millisecond late. A locked thread can sleep in the kernel more precisely.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	disableTimerSlack()
	started, offset := time.Now(), time.Duration(0)
	for number := 0; ; number++ {
		offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if offset >= length {
			return number, nil
		}
		intended := started.Add(offset)
		if !sleepUntil(ctx, intended) {
			return number, context.Cause(ctx)
		}
		if err := calls.start(func() { call(number, intended) }); err != nil {
			return number, err
		}
	}
}

// openCalls tracks the calls that have started but not ended, and limits their number.
type openCalls struct {
	running sync.WaitGroup
	slots   chan struct{} // holds one element for each open call
}

func newOpenCalls() *openCalls { return &openCalls{slots: make(chan struct{}, maxOpenCalls)} }

var errTooManyOpen = errors.New("the load generator has thousands of open calls: calls end more slowly than they start")

// start makes a call on a new goroutine. It returns errTooManyOpen if maxOpenCalls calls are open already.
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
		remaining := time.Until(instant)
		if ctx.Err() != nil {
			return false
		}
		if remaining <= 0 {
			return true
		}
		sleep := syscall.NsecToTimespec(int64(min(remaining, maxSleep)))
		_ = syscall.Nanosleep(&sleep, nil) // if interrupted, the loop continues
	}
}

// disableTimerSlack makes the kernel wake the current thread on time. By default, the kernel may delay the wake-up to
// combine it with later timers.
func disableTimerSlack() {
	const setTimerSlack, nanosecond = 29, 1                                       // PR_SET_TIMERSLACK
	_, _, _ = syscall.RawSyscall(syscall.SYS_PRCTL, setTimerSlack, nanosecond, 0) // an error means up to 50 µs longer sleeps
}
