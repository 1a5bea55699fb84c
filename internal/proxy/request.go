package proxy

import (
	"math"
	"net/http"
	"time"

	"baylock/balancer"
	"baylock/internal/downstream"
	"baylock/internal/message"
	"baylock/internal/microtime"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

// expiryLeeway is how long after its deadline a request is failed whatever the balancer does. The timeout of an attempt at
// the deadline is the balancer's to respond to and to learn from.
const expiryLeeway = 10 * time.Millisecond

// request is an entry of the loop's table.
type request struct {
	*downstream.Request
	responded bool
	sends     int      // attempts that the balancer has sent
	current   *attempt // in flight, or nil
	expiry    *timing.Timer[timerTarget]
}

// takeRequest gives a request to the balancer, or rejects one that can't be taken.
func (l *eventLoop) takeRequest(submitted *downstream.Request) {
	if l.requests[submitted.ID] != nil { // two of the same ID could not be told apart
		submitted.Respond(downstream.Response{Status: http.StatusBadRequest})
		return
	}
	if !adopt(submitted, l.settings.Load()) {
		submitted.Respond(downstream.Response{Status: http.StatusServiceUnavailable})
		return
	}
	if l.cutoff > 0 {
		submitted.Deadline = min(submitted.Deadline, l.cutoff)
	}
	r := &request{Request: submitted}
	l.requests[r.ID] = r
	expiry := expiryTime(r.Deadline)
	if r.Streaming && l.cutoff == 0 { // its timeout starts with the end of the upload
		expiry = math.MaxInt64
	}
	r.expiry = timing.NewTimer(expiry, timerTarget{request: r})
	l.timers.Add(r.expiry)
	l.balancer.HandleRequest(l.clock.Now(), l, r.Request.Request)
}

func expiryTime(deadline balancer.Microseconds) balancer.Microseconds {
	return deadline + microtime.FromDuration(expiryLeeway)
}

// respond gives a request its response, if it has none yet.
func (l *eventLoop) respond(r *request, response downstream.Response) {
	if r.responded {
		return
	}
	r.responded = true
	r.Respond(response)
	l.removeFinished(r)
}

// removeFinished removes a request from the table once it has its response and no attempt is in flight.
func (l *eventLoop) removeFinished(r *request) {
	if r.responded && r.current == nil {
		delete(l.requests, r.ID)
		l.timers.Remove(r.expiry)
	}
}

// startTimeout starts the timeout of a streamed request, whose upload has just ended.
func (l *eventLoop) startTimeout(a *attempt, uploadedAt time.Time) {
	r := a.request
	if r.responded || r.current != a {
		return
	}
	a.sentAt = l.clock.At(uploadedAt)
	r.CompletedAt = a.sentAt
	r.Deadline = l.clock.At(uploadedAt.Add(r.Timeout))
	if l.cutoff > 0 {
		r.Deadline = min(r.Deadline, l.cutoff)
	}
	l.timers.Reschedule(r.expiry, expiryTime(r.Deadline))
	l.balancer.RequestUploaded(a.sentAt, r.ID, r.Deadline)
}

// respondWithStream gives a request a response that is forwarded as it arrives. Its deadline was for the first bytes, and
// for the balancer the attempt has ended: the endpoint's work is done.
func (l *eventLoop) respondWithStream(a *attempt, response *message.ResponseStream) {
	r := a.request
	if r.responded {
		a.cancel()
		return
	}
	if l.streamingCutoff > 0 && r.CompletedAt > l.streamingCutoff {
		// SIGKILL could cut the response off; a failed request is not lost.
		l.cancel(r, downstream.Response{Status: http.StatusBadGateway})
		return
	}
	a.forwarding = true
	l.respond(r, downstream.Response{Status: http.StatusOK, ContentType: response.ContentType, Stream: response})
	now := l.clock.Now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{
		ID:          r.ID,
		Attempt:     a.number,
		Status:      balancer.OK,
		Latency:     now - a.sentAt,
		RequestDone: true,
	})
}

// cancel ends a request and its attempt, or the forwarding of a response that nobody takes.
func (l *eventLoop) cancel(r *request, response downstream.Response) {
	if r.responded {
		if r.current != nil && r.current.forwarding {
			r.current.cancel()
		}
		return
	}
	l.respond(r, response)
	l.balancer.CancelRequest(l.clock.Now(), l, r.ID)
	if r.current != nil {
		r.current.cancel()
	}
}

// expire fails a request that the balancer has not ended in time.
func (l *eventLoop) expire(r *request) {
	if !r.responded {
		l.cancel(r, downstream.Response{Status: http.StatusGatewayTimeout})
	}
}

// beginShutdown has all requests end by cutoff, since the process may be killed soon after.
func (l *eventLoop) beginShutdown(cutoff, streamingCutoff balancer.Microseconds) {
	l.cutoff, l.streamingCutoff = cutoff, streamingCutoff
	for _, r := range l.requests {
		if r.expiry.Due() > cutoff {
			l.timers.Reschedule(r.expiry, cutoff)
		}
	}
}

// finishAttempt passes the outcome of an attempt to the balancer. A served request has its response first.
func (l *eventLoop) finishAttempt(a *attempt, result upstream.Result) {
	r := a.request
	if r.current == a {
		r.current = nil
	}
	if a.forwarding { // the balancer has its outcome
		l.removeFinished(r)
		return
	}
	if result.Status == balancer.OK {
		l.respond(r, downstream.Response{Status: http.StatusOK, ContentType: result.ContentType, Body: result.Body})
	}
	if result.ClientGone {
		l.respond(r, downstream.Response{})
	}
	if result.ClientFault != 0 { // any endpoint would say the same, so it is no evidence against this one
		l.respond(r, downstream.Response{Status: result.ClientFault})
		result.Status = balancer.NotAttempted
	}
	now := l.clock.Now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{
		ID:           r.ID,
		Attempt:      a.number,
		Status:       result.Status,
		Latency:      now - a.sentAt,
		RequestDone:  r.responded,
		BodyConsumed: result.BodyConsumed,
	})
	l.removeFinished(r)
}
