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

// handleCall passes a call to the balancer. A call with the ID of another one in the table fails.
func (l *loop) handleCall(r *request) {
	if l.requests[r.call.ID] != nil { // two calls with the same ID cannot be distinguished
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

// deadline returns a call's own deadline, or that of its class if it has none.
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
	result.Attempts = r.attemptsSent
	if r.result != nil {
		r.result <- result
	} else if l.cfg.OnResult != nil {
		l.cfg.OnResult(r.call, result)
	}
	l.release(r)
}

// release removes a request from the table if it is done and has no attempt in flight.
func (l *loop) release(r *request) {
	if !r.done || r.inFlight != nil || l.requests[r.call.ID] != r {
		return
	}
	delete(l.requests, r.call.ID)
	l.timers.Remove(r.expiryTimer)
}

// cancelCall fails a request that has no final answer yet, and cancels its attempt.
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

// handleOutcome reports the outcome of an attempt to the balancer. Before the report, a successful attempt gives the
// request its final answer.
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

// Send implements balancer.Host. It sends the attempt at once, so it can ignore the time by which the attempt's
// last byte must reach the endpoint.
func (l *loop) Send(id, endpoint string, timeout, _ balancer.Microseconds) {
	r := l.requests[id]
	if r == nil { // the balancer knows only requests of the table
		panic("hollow proxy: send of unknown request " + strconv.Quote(id))
	}
	now := l.clock.Now()
	deadline := r.deadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{request: r, number: r.attemptsRequested, sent: now}
	r.attemptsRequested++
	if l.cfg.Upstream == nil || r.done || r.inFlight != nil { // a request has at most one attempt in flight
		l.unsent = append(l.unsent, a)
		return
	}
	r.inFlight = a
	r.attemptsSent++
	l.startAttempt(a, endpoint, l.clock.Time(deadline))
}

// startAttempt sends an attempt on a new goroutine, which posts the outcome to the loop.
func (l *loop) startAttempt(a *attempt, endpoint string, deadline time.Time) {
	ctx, cancel := context.WithDeadline(l.attemptsContext, deadline)
	a.cancel = cancel
	call := a.request.call
	call.Deadline = deadline
	l.attemptGoroutines.Go(func() {
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

// Subscribe implements balancer.Host. It requests a watch from the discovery client; a client whose list is pushed
// needs no request.
func (l *loop) Subscribe() {
	select {
	case l.watchRequests <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host. It discards the log lines, as a process may have a thousand balancers.
func (l *loop) Log(string) {}
