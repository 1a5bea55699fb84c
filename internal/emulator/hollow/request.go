package hollow

import (
	"context"
	"errors"
	"strconv"
	"time"

	"baylock/balancer"
	"baylock/internal/microtime"
	"baylock/internal/timing"
)

// handleCall hands a call to the balancer.
func (l *loop) handleCall(r *request) {
	if l.requests[r.call.ID] != nil { // two calls with one ID cannot be told apart
		l.finish(r, Result{})
		return
	}
	now := l.clock.Now()
	r.deadline = l.deadline(now, r.call)
	l.requests[r.call.ID] = r
	expiry := r.deadline + microtime.FromDuration(expiryGrace)
	r.expiryTimer = timing.NewTimer(expiry, timerEvent{kind: requestExpiryTimer, request: r})
	l.timers.Add(r.expiryTimer)
	l.balancer.HandleRequest(now, l, balancer.Request{
		ID:       r.call.ID,
		Class:    r.call.Class,
		Tenant:   r.call.Tenant,
		Key:      r.call.Key,
		Deadline: r.deadline,
	})
}

// deadline is a call's deadline, or that of its class.
func (l *loop) deadline(now balancer.Microseconds, call Call) balancer.Microseconds {
	if !call.Deadline.IsZero() {
		return l.clock.At(call.Deadline)
	}
	if classes := l.cfg.Settings.Classes; call.Class >= 0 && call.Class < len(classes) {
		return now + classes[call.Class].Deadline
	}
	return now // the balancer fails a call of an unknown class
}

// finish gives a request its final answer, if it has none yet.
func (l *loop) finish(r *request, result Result) {
	if r.done {
		return
	}
	r.done = true
	result.Attempts = r.attemptCount
	if r.result != nil {
		r.result <- result
	} else if l.cfg.OnResult != nil {
		l.cfg.OnResult(r.call, result)
	}
	l.release(r)
}

// release removes a request that is done and has no attempt in flight.
func (l *loop) release(r *request) {
	if !r.done || r.inFlight != nil || l.requests[r.call.ID] != r {
		return
	}
	delete(l.requests, r.call.ID)
	l.timers.Remove(r.expiryTimer)
}

// cancelCall fails a request and cancels its attempt.
func (l *loop) cancelCall(r *request) {
	if r.done {
		return
	}
	l.finish(r, Result{})
	l.balancer.CancelRequest(l.clock.Now(), l, r.call.ID)
	if r.inFlight != nil {
		r.inFlight.cancel()
	}
}

// handleOutcome reports the outcome of an attempt to the balancer. A served request gets its answer first.
func (l *loop) handleOutcome(a *attempt, status balancer.Status) {
	r := a.request
	if r.inFlight == a {
		r.inFlight = nil
	}
	if status == balancer.OK {
		l.finish(r, Result{Outcome: Served})
	}
	now := l.clock.Now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{
		ID:          r.call.ID,
		Attempt:     a.number,
		Status:      status,
		Latency:     now - a.sent,
		RequestDone: r.done,
	})
	l.release(r)
}

// Send implements balancer.Host. An attempt is sent at once, so the time until which its last byte has to reach the
// endpoint does not matter.
func (l *loop) Send(id, endpoint string, timeout, _ balancer.Microseconds) {
	r := l.requests[id]
	if r == nil { // the balancer knows the requests of the table alone
		panic("hollow proxy: send of unknown request " + strconv.Quote(id))
	}
	now := l.clock.Now()
	deadline := r.deadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{request: r, number: r.sendCount, sent: now}
	r.sendCount++
	if l.cfg.Upstream == nil || r.done || r.inFlight != nil { // a request has one attempt in flight at most
		l.unsent = append(l.unsent, a)
		return
	}
	r.inFlight = a
	r.attemptCount++
	l.startAttempt(a, endpoint, l.clock.Time(deadline))
}

// startAttempt sends an attempt and posts its outcome.
func (l *loop) startAttempt(a *attempt, endpoint string, deadline time.Time) {
	ctx, cancel := context.WithDeadline(l.attemptsContext, deadline)
	a.cancel = cancel
	call := a.request.call
	call.Deadline = deadline
	l.running.Go(func() {
		defer cancel()
		status := l.cfg.Upstream.Attempt(ctx, endpoint, call)
		if status == balancer.Cancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			status = balancer.TimedOut
		}
		l.post(context.Background(), event{kind: attemptEnded, attempt: a, status: status})
	})
}

// Reject implements balancer.Host.
func (l *loop) Reject(id string, retryAfter balancer.Microseconds) {
	if r := l.requests[id]; r != nil {
		l.finish(r, Result{Outcome: Rejected, RetryAfter: retryAfter.Duration()})
	}
}

// Fail implements balancer.Host.
func (l *loop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.finish(r, Result{})
	}
}

// SetTimer implements balancer.Host.
func (l *loop) SetTimer(delay balancer.Microseconds, token string) {
	l.timers.Add(timing.NewTimer(l.clock.Now()+delay, timerEvent{kind: balancerTimer, token: token}))
}

// Subscribe implements balancer.Host. Where the list is pushed, the client watches it anyway.
func (l *loop) Subscribe() {
	select {
	case l.watchRequests <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host. The log lines of a thousand balancers are dropped.
func (l *loop) Log(string) {}
