package proxy

import (
	"context"
	"net/http"

	"baylock/balancer"
	"baylock/internal/downstream"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

// Send implements balancer.Host.
func (l *eventLoop) Send(id, endpoint string, timeout, dedupDeadline balancer.Microseconds) {
	r := l.requests[id]
	if r == nil {
		l.log.Error("send for an unknown request", "id", id)
		return
	}
	a := l.newAttempt(r, timeout, dedupDeadline)
	r.sends++
	var ready bool
	a.Target, ready = l.pool.Find(endpoint)
	if !ready || r.responded || r.current != nil { // a request has at most one attempt in flight
		l.unsent = append(l.unsent, a)
		return
	}
	r.current = a
	l.start(a)
}

// newAttempt returns an attempt without a target. timeout and dedupDeadline are as in balancer.Host.
func (l *eventLoop) newAttempt(r *request, timeout, dedupDeadline balancer.Microseconds) *attempt {
	now := l.clock.Now()
	deadline := r.Deadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{
		loop:            l,
		request:         r,
		number:          r.sends,
		sentAt:          now,
		responseTimeout: (deadline - now).Duration(),
	}
	a.Attempt = &upstream.Attempt{Request: r.Forwarded, Deadline: l.clock.Time(deadline), Observer: a}
	if dedupDeadline != 0 {
		a.DedupDeadline = l.clock.Time(dedupDeadline)
	}
	return a
}

// start runs an attempt on a goroutine of its own, for which run waits.
func (l *eventLoop) start(a *attempt) {
	ctx, cancel := context.WithCancel(l.attemptsContext)
	a.cancel = cancel
	l.attempts.Go(func() {
		result := a.Run(ctx)
		cancel()
		l.post(attemptFinished{a, result})
	})
}

// Reject implements balancer.Host.
func (l *eventLoop) Reject(id string, retryAfter balancer.Microseconds) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
	}
}

// Fail implements balancer.Host.
func (l *eventLoop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusBadGateway})
	}
}

// SetTimer implements balancer.Host.
func (l *eventLoop) SetTimer(delay balancer.Microseconds, token string) {
	l.timers.Add(timing.NewTimer(l.clock.Now()+delay, timerTarget{token: token}))
}

// Subscribe implements balancer.Host. Where the list is pushed the watch is open anyway.
func (l *eventLoop) Subscribe() {
	select {
	case l.pollRequests <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host.
func (l *eventLoop) Log(line string) { l.log.Info(line) }
