package backend

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"baylock/balancer"
	"baylock/internal/emulator/hollow"
)

// timerSlack is how late the end of an attempt's context may be noticed, as with Linux timers. It spreads time-outs
// that would otherwise fall on one microsecond, where no seed settles in which order proxies hear of them.
const timerSlack = 50 * time.Microsecond

var errProcessEnded = errors.New("the backend's process has ended")

// attempt is one attempt at a backend.
type attempt struct {
	process        *process
	call           hollow.Call
	samples        samples
	deadline       time.Time     // of its answer
	workerAssigned chan struct{} // closed when it gets a worker
}

// samples are the random draws of one attempt. Those without a unit are evenly distributed from 0 to 1.
type samples struct {
	requestLatency  time.Duration
	work            time.Duration
	responseLatency time.Duration
	noticeDelay     time.Duration // until the end of its context is noticed
	fault           float64       // compared with the fault ratios at the end of its work
	delayed         float64       // compared with the ratio of delayed attempts
	delay           float64       // in parts of the longest delay
}

// sample draws an attempt's samples. They depend on the seed, the backend, the call and the time alone, so attempts
// that begin at the same time may do so in any order.
func (s *server) sample(id string) samples {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.name + " " + id)) // never fails
	random := rand.New(rand.NewPCG(s.cfg.Seed+uint64(time.Since(s.created)), hash.Sum64()))
	return samples{
		requestLatency:  sampleDuration(random, s.cfg.Latency),
		work:            sampleDuration(random, s.cfg.Work),
		responseLatency: sampleDuration(random, s.cfg.Latency),
		noticeDelay:     time.Duration(random.Int64N(int64(timerSlack))),
		fault:           random.Float64(),
		delayed:         random.Float64(),
		delay:           random.Float64(),
	}
}

// sampleDuration draws a duration with the given mean: a constant half and an exponential half.
func sampleDuration(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.ExpFloat64()*float64(mean/2))
}

// exchange sends an attempt and returns its outcome: Cancelled soon after the context ends.
func (s *server) exchange(ctx context.Context, call hollow.Call, draws samples) balancer.Status {
	timeout := advertisedTimeout(call.Deadline)
	ctx, cancel := withSlack(ctx, draws.noticeDelay)
	defer cancel()
	if !sleep(ctx, draws.requestLatency+s.injectedDelay(draws)) {
		return balancer.Cancelled
	}
	a := &attempt{call: call, samples: draws, deadline: time.Now().Add(timeout), workerAssigned: make(chan struct{})}
	status := s.handle(ctx, a)
	if status == balancer.Cancelled || !sleep(ctx, draws.responseLatency) {
		return balancer.Cancelled
	}
	return status
}

// advertisedTimeout is the timeout that a proxy sends along with an attempt: whole milliseconds, as on the wire.
func advertisedTimeout(deadline time.Time) time.Duration {
	return max(time.Millisecond, time.Until(deadline).Truncate(time.Millisecond))
}

// withSlack returns a context that ends the given time after its parent.
func withSlack(parent context.Context, slack time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	unlink := context.AfterFunc(parent, func() {
		time.Sleep(slack)
		cancel()
	})
	return ctx, func() {
		unlink()
		cancel()
	}
}

// handle handles an attempt that has arrived, and returns its outcome.
func (s *server) handle(ctx context.Context, a *attempt) balancer.Status {
	status := s.admit(a, time.Now())
	if status == balancer.ConnectFailed {
		return status
	}
	if status == balancer.OK {
		status = s.complete(ctx, a)
	}
	s.counters.attemptEnded(status)
	return status
}

// complete serves an admitted attempt, until it is cancelled or the process ends.
func (s *server) complete(ctx context.Context, a *attempt) balancer.Status {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unlink := context.AfterFunc(a.process.ctx, func() { cancel(errProcessEnded) })
	defer unlink()
	status := balancer.Cancelled
	if s.waitForWorker(ctx, a) {
		status = s.run(ctx, a)
		s.release(a.process)
	}
	if status == balancer.Cancelled && errors.Is(context.Cause(ctx), errProcessEnded) {
		return balancer.Reset
	}
	return status
}

// waitForWorker waits for a worker; it returns false, and leaves the queue, if the context ends first.
func (s *server) waitForWorker(ctx context.Context, a *attempt) bool {
	select {
	case <-a.workerAssigned:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(a.process.queue, a); i >= 0 {
		a.process.queue = slices.Delete(a.process.queue, i, i+1)
	} else { // a worker was assigned in the meantime
		a.process.release()
	}
	return false
}

// run does an attempt's work. It returns Cancelled when the context ends.
func (s *server) run(ctx context.Context, a *attempt) balancer.Status {
	now := time.Now()
	s.counters.runStarted(a.call.ID, a.call.Class, now)
	if !sleep(ctx, s.workDuration(a, now)) || !s.waitForResume(ctx) {
		return balancer.Cancelled
	}
	next, faults := s.nextAndFaults()
	switch {
	case a.samples.fault < faults.ErrorRatio:
		return balancer.Error
	case a.samples.fault < faults.ErrorRatio+faults.StallRatio:
		<-ctx.Done()
		return balancer.Cancelled
	case a.samples.fault < faults.ErrorRatio+faults.StallRatio+faults.ResetRatio:
		return balancer.Reset
	case next == nil:
		return balancer.OK
	}
	return s.callNext(ctx, next, a)
}

// workDuration is the duration of work that begins now: longer where the backend is cold or congested.
func (s *server) workDuration(a *attempt, now time.Time) time.Duration {
	work := float64(a.samples.work)
	if s.congested(a.process) {
		work *= s.cfg.Congestion.Slowdown
	}
	if !a.process.started.IsZero() {
		work /= s.cfg.ColdStart.capacity(now.Sub(a.process.started))
	}
	return time.Duration(work)
}

// waitForResume waits while the backend hangs; it returns false if the context ends first.
func (s *server) waitForResume(ctx context.Context) bool {
	hung := s.currentHang()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-ctx.Done():
		return false
	}
}

// callNext calls the next tier with the time that remains. The attempt fails unless that call is served.
func (s *server) callNext(ctx context.Context, next Caller, a *attempt) balancer.Status {
	call := a.call
	call.ID = s.nextCallID()
	call.Deadline = a.deadline
	call.Depth++
	result := next.Call(ctx, call)
	switch {
	case ctx.Err() != nil:
		return balancer.Cancelled
	case result.Outcome == hollow.Served:
		return balancer.OK
	}
	return balancer.Error
}
