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

// timerSlack limits the random delay between the end of an attempt's context and its effect. The delay models the
// slack of Linux timers. It spreads timeouts that would otherwise expire in the same microsecond: the seed does not
// determine the order in which proxies are notified of simultaneous timeouts, so without the delay runs would not be
// reproducible.
const timerSlack = 50 * time.Microsecond

var errProcessEnded = errors.New("the backend's process has ended")

// attempt is one attempt at a backend.
type attempt struct {
	process        *process
	call           hollow.Call
	samples        samples
	deadline       time.Time     // for its response
	workerAssigned chan struct{} // closed when a worker has been assigned to it
}

// samples holds the random values of one attempt. The float64 values are uniformly distributed between 0 and 1.
type samples struct {
	requestLatency  time.Duration
	work            time.Duration
	responseLatency time.Duration
	noticeDelay     time.Duration // from the end of its context until the attempt reacts to it
	fault           float64       // compared with the ratios of Faults at the end of its work
	delayed         float64       // compared with Faults.DelayRatio
	delay           float64       // as a fraction of Faults.MaxDelay
}

// sample generates the random values of an attempt. They depend only on the seed, the backend, the call's ID and the
// current time, so the order in which simultaneous attempts begin does not matter.
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

// sampleDuration returns a random duration with the given mean: half of the mean is constant, the other half is the
// mean of an exponential distribution.
func sampleDuration(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.ExpFloat64()*float64(mean/2))
}

// roundTrip sends an attempt to the backend and returns its outcome. Once the context ends, it returns Cancelled
// within timerSlack.
func (s *server) roundTrip(ctx context.Context, call hollow.Call, values samples) balancer.Status {
	timeout := advertisedTimeout(call.Deadline)
	ctx, cancel := withSlack(ctx, values.noticeDelay)
	defer cancel()
	if !sleep(ctx, values.requestLatency+s.injectedDelay(values)) {
		return balancer.Cancelled
	}
	a := &attempt{call: call, samples: values, deadline: time.Now().Add(timeout), workerAssigned: make(chan struct{})}
	status := s.handle(ctx, a)
	if status == balancer.Cancelled || !sleep(ctx, values.responseLatency) {
		return balancer.Cancelled
	}
	return status
}

// advertisedTimeout returns the timeout that a proxy sends with an attempt: at least 1 ms, and in whole milliseconds
// as on the wire.
func advertisedTimeout(deadline time.Time) time.Duration {
	return max(time.Millisecond, time.Until(deadline).Truncate(time.Millisecond))
}

// withSlack returns a context that is cancelled when the given time has passed since the end of its parent.
func withSlack(parent context.Context, slack time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		time.Sleep(slack)
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// handle processes and counts an attempt that has arrived at the backend, and returns its outcome.
func (s *server) handle(ctx context.Context, a *attempt) balancer.Status {
	status := s.admit(a, time.Now())
	if status == balancer.ConnectFailed {
		return status
	}
	if status == balancer.OK {
		status = s.serve(ctx, a)
	}
	s.counters.attemptEnded(status)
	return status
}

// serve queues and runs an admitted attempt and returns its outcome: Cancelled if the context ends first, Reset if
// the process ends first.
func (s *server) serve(ctx context.Context, a *attempt) balancer.Status {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(a.process.ctx, func() { cancel(errProcessEnded) })
	defer stop()
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

// waitForWorker waits until a worker is assigned to the attempt. If the context ends first, it removes the attempt
// from the queue and returns false.
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

// run executes an attempt on its worker: its work, the injected faults and the call to the next tier, if there is
// one. It returns Cancelled when the context ends.
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

// workDuration returns how long the attempt's work takes if it begins now. Work takes longer at a cold or congested
// backend.
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

// waitForResume blocks while the backend hangs. It returns false if the context ends first.
func (s *server) waitForResume(ctx context.Context) bool {
	hangEnd := s.currentHang()
	if hangEnd == nil {
		return true
	}
	select {
	case <-hangEnd:
		return true
	case <-ctx.Done():
		return false
	}
}

// callNext calls the next tier, with the attempt's remaining time as its timeout. It returns Error if that call is
// not served, and Cancelled if the context ends first.
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
