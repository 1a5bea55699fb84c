package proxy

import (
	"context"
	"net/http"

	"baylock/balancer"
	"baylock/internal/downstream"
	"baylock/internal/microtime"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

// Send implements balancer.Host.
func (l *eventLoop) Send(id, endpoint string, timeout, dedupDeadline balancer.Microseconds) {
	r := l.requests[id]
	if r == nil {
		l.log.Error("balancer sent an unknown request", "id", id)
		return
	}
	a := l.newAttempt(r, timeout, dedupDeadline)
	r.attemptsSent++
	var ready bool
	a.Target, ready = l.pool.Find(endpoint)
	full := l.attemptsInFlight >= l.limits.attempts.Load()
	if !ready || full || r.responded || r.inFlight != nil { // a request has at most one attempt in flight
		l.unsent = append(l.unsent, a)
		return
	}
	r.inFlight = a
	l.start(a)
}

// newAttempt returns an attempt without a target. timeout and dedupDeadline have the meaning given at balancer.Host.Send.
func (l *eventLoop) newAttempt(r *request, timeout, dedupDeadline balancer.Microseconds) *attempt {
	now := l.clock.Now()
	deadline := r.Deadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{
		loop:            l,
		request:         r,
		number:          r.attemptsSent,
		sentAt:          now,
		responseTimeout: timeout.Duration(),
		completedAt:     r.CompletedAt,
		requestDeadline: r.CompletedAt + microtime.FromDuration(r.Timeout),
	}
	a.Attempt = &upstream.Attempt{
		Request:          r.Forwarded,
		Deadline:         l.clock.Time(deadline),
		UploadTimeout:    r.Timeout,
		StreamedResponse: r.StreamedResponse,
		Observer:         a,
	}
	if r.Idempotency != balancer.NotIdempotent {
		a.StallTimeout = upstream.ResponseStallTimeout
	}
	if dedupDeadline != 0 {
		a.DedupDeadline = l.clock.Time(dedupDeadline)
	}
	return a
}

// start runs an attempt on its own goroutine. run waits for all such goroutines before it returns.
func (l *eventLoop) start(a *attempt) {
	ctx, cancel := context.WithCancel(l.attemptsContext)
	a.cancel = cancel
	l.attemptsInFlight++
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

// Subscribe implements balancer.Host. It requests a poll of the endpoint list. If discovery pushes the list, the watch is
// open anyway and the request has no effect.
func (l *eventLoop) Subscribe() {
	select {
	case l.pollRequests <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host.
func (l *eventLoop) Log(line string) { l.log.Info(line) }
