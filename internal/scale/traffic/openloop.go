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
	mostOpen     = 4096                  // calls at a time
	longestSleep = 50 * time.Millisecond // so that the end of the context is seen
)

// OpenLoop begins calls at instants that are drawn ahead of time (Poisson, at a rate a second), whatever becomes of
// those before: a slow answer does not hold up the next call, and time counted from the intended instant hides no wait.
// It returns once the last call has, with their number.
func OpenLoop(ctx context.Context, rate float64, length time.Duration, random *rand.Rand,
	call func(number int, intended time.Time)) (int, error) {
	calls := newOpenCalls()
	defer calls.running.Wait()
	// The runtime's timers wake up to a millisecond late; a thread of its own can sleep more exactly.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	exactSleeps()
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
		if err := calls.begin(func() { call(number, intended) }); err != nil {
			return number, err
		}
	}
}

// openCalls are the calls that have begun and not ended.
type openCalls struct {
	running sync.WaitGroup
	places  chan struct{} // holds a word for each of them
}

func newOpenCalls() *openCalls { return &openCalls{places: make(chan struct{}, mostOpen)} }

var errTooManyOpen = errors.New("the load has thousands of calls open: answers come more slowly than calls")

// begin makes a call in a goroutine of its own, unless too many are open.
func (o *openCalls) begin(call func()) error {
	select {
	case o.places <- struct{}{}:
	default:
		return errTooManyOpen
	}
	o.running.Go(func() {
		defer func() { <-o.places }()
		call()
	})
	return nil
}

// sleepUntil returns false if the context ends first.
func sleepUntil(ctx context.Context, instant time.Time) bool {
	for {
		left := time.Until(instant)
		if ctx.Err() != nil {
			return false
		}
		if left <= 0 {
			return true
		}
		span := syscall.NsecToTimespec(int64(min(left, longestSleep)))
		_ = syscall.Nanosleep(&span, nil) // interrupted: the loop looks again
	}
}

// exactSleeps has the kernel wake this thread at the instant itself and not with others that wake later.
func exactSleeps() {
	const setTimerSlack, nanosecond = 29, 1                                       // PR_SET_TIMERSLACK
	_, _, _ = syscall.RawSyscall(syscall.SYS_PRCTL, setTimerSlack, nanosecond, 0) // without it sleeps are 50 µs longer
}
