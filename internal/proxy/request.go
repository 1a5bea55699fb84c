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

// expiryLeeway is how long after a request's deadline the loop itself fails the request. It lets the balancer act first: if
// an attempt times out at the deadline, the balancer decides on the response and updates its measurements of the endpoint.
const expiryLeeway = 10 * time.Millisecond

// request is an entry in the loop's table of open requests.
type request struct {
	*downstream.Request
	responded    bool
	departed     bool     // its client has left
	attemptsSent int      // number of attempts that the balancer has sent
	inFlight     *attempt // the attempt in flight, or nil
	expiry       *timing.Timer[timerTarget]
}

// acceptRequest passes a request to the balancer, or rejects it if its ID is in use or the settings in force no longer
// allow it.
func (l *eventLoop) acceptRequest(submitted *downstream.Request) {
	// Two open requests with the same ID could not be distinguished, and that of a departed client may have run.
	if l.requests[submitted.ID] != nil || l.departed.contains(submitted.ID) {
		submitted.Respond(downstream.Response{Status: http.StatusBadRequest})
		return
	}
	if !revalidate(submitted, l.settings.Load()) {
		submitted.Respond(downstream.Response{Status: http.StatusServiceUnavailable})
		return
	}
	if l.cutoff > 0 {
		submitted.Deadline = min(submitted.Deadline, l.cutoff)
	}
	r := &request{Request: submitted}
	l.requests[r.ID] = r
	expiry := expiryTime(r.Deadline)
	if r.Streaming && l.cutoff == 0 { // its timeout starts when the upload ends
		expiry = math.MaxInt64
	}
	r.expiry = timing.NewTimer(expiry, timerTarget{request: r})
	l.timers.Add(r.expiry)
	l.balancer.HandleRequest(l.clock.Now(), l, r.Request.Request)
}

func expiryTime(deadline balancer.Microseconds) balancer.Microseconds {
	return deadline + microtime.FromDuration(expiryLeeway)
}

// respond sends a request its response, unless it already has one.
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
	if r.responded && r.inFlight == nil {
		if r.departed {
			l.recordDeparture(r.Request)
		}
		delete(l.requests, r.ID)
		l.timers.Remove(r.expiry)
	}
}

// recordDeparture keeps the ID of a request whose client has left, if the request may have run.
func (l *eventLoop) recordDeparture(r *downstream.Request) {
	if r.PossiblyRan {
		l.departed.add(r.ID)
	}
}

// checkPeers finds out which other processes of this proxy are running, and cancels the requests whose clients have left: they
// may send them to another process next. net/http does not notice that a client leaves if it has sent further bytes before.
func (l *eventLoop) checkPeers() {
	l.departed.updatePeers()
	for _, r := range l.requests {
		if !r.departed && r.Forwarded.ClientGone() {
			r.departed = true
			l.cancel(r, downstream.Response{})
		}
	}
}

// mayHaveRun reports whether an attempt that ended with a status may have run.
func (l *eventLoop) mayHaveRun(status balancer.Status) bool {
	switch status {
	case balancer.ConnectFailed, balancer.NotAttempted:
		return false
	case balancer.Rejected:
		return l.settings.Load().Balancer.RejectedMayRun
	}
	return true
}

// startTimeout sets the deadline of a streamed request after its upload has ended.
func (l *eventLoop) startTimeout(a *attempt, uploadedAt time.Time) {
	r := a.request
	if r.responded || r.inFlight != a {
		return
	}
	a.sentAt = l.clock.At(uploadedAt)
	r.Deadline = a.requestDeadline
	if l.cutoff > 0 {
		r.Deadline = min(r.Deadline, l.cutoff)
	}
	l.timers.Reschedule(r.expiry, expiryTime(r.Deadline))
	l.balancer.RequestUploaded(a.sentAt, r.ID, r.Deadline)
}

// respondWithStream gives a request a response that is forwarded as it arrives, or lets the balancer end the request if the
// response might not be complete before SIGKILL. The request's deadline applies only to the first bytes of the response. The
// attempt's outcome is reported to the balancer now, because the endpoint's work is done.
func (l *eventLoop) respondWithStream(a *attempt, response *message.ResponseStream) {
	r := a.request
	if r.responded {
		a.cancel()
		return
	}
	r.PossiblyRan = true
	deliverable := a.MayForward()
	if deliverable {
		a.forwarding = true
		l.respond(r, downstream.Response{Status: http.StatusOK, ContentType: response.ContentType, Stream: response})
	} else {
		a.cancel()
	}
	l.reportOutcome(a, balancer.Outcome{Status: balancer.OK, RequestDone: deliverable, Undeliverable: !deliverable})
}

// mayStream reports whether a request that was fully received at a time may get a streamed response. During a shutdown,
// SIGKILL could cut off the response to a late one, and the request would be lost. If it is rejected or fails, it is not.
// mayStream is safe for concurrent use.
func (l *eventLoop) mayStream(completedAt balancer.Microseconds) bool {
	cutoff := balancer.Microseconds(l.streamingCutoff.Load())
	return cutoff == 0 || completedAt <= cutoff
}

// cancel ends a request with a response and cancels its attempt. If the request already has a response that is being
// forwarded, cancel only stops the forwarding.
func (l *eventLoop) cancel(r *request, response downstream.Response) {
	if r.responded {
		if r.inFlight != nil && r.inFlight.forwarding {
			r.inFlight.cancel()
		}
		return
	}
	l.respond(r, response)
	l.balancer.CancelRequest(l.clock.Now(), l, r.ID)
	if r.inFlight != nil {
		r.inFlight.cancel()
	}
}

// expire fails a request for which the balancer has not provided a response in time.
func (l *eventLoop) expire(r *request) {
	if !r.responded {
		l.cancel(r, downstream.Response{Status: http.StatusGatewayTimeout})
	}
}

// beginShutdown makes all requests fail that have no response by cutoff, since the process may be killed soon after.
func (l *eventLoop) beginShutdown(cutoff, streamingCutoff balancer.Microseconds) {
	l.cutoff = cutoff
	l.streamingCutoff.Store(int64(streamingCutoff))
	for _, r := range l.requests {
		if r.expiry.Due() > cutoff {
			l.timers.Reschedule(r.expiry, cutoff)
		}
	}
}

// finishAttempt passes the outcome of an attempt to the balancer. If the attempt succeeded, or the client is gone or at
// fault, the request first gets its response.
func (l *eventLoop) finishAttempt(a *attempt, result upstream.Result) {
	r := a.request
	if r.inFlight == a {
		r.inFlight = nil
	}
	r.PossiblyRan = r.PossiblyRan || l.mayHaveRun(result.Status)
	if a.forwarding { // respondWithStream has reported the outcome
		l.removeFinished(r)
		return
	}
	// Once the request has its response, the stream may be read, and Received would wait for that.
	if result.UploadOverdue && !r.responded {
		l.log.Warn("upload not finished in time", "id", r.ID, "backend", a.Target.Name(), "received", r.Forwarded.Stream.Received())
	}
	if result.Status == balancer.OK {
		l.respond(r, downstream.Response{Status: http.StatusOK, ContentType: result.ContentType, Body: result.Body})
	}
	if result.ClientGone {
		r.departed = true
		l.respond(r, downstream.Response{})
	}
	if result.ClientFault != 0 { // any endpoint would fail in the same way, so this is no evidence against this one
		l.respond(r, downstream.Response{Status: result.ClientFault})
		result.Status = balancer.NotAttempted
	}
	l.reportOutcome(a, balancer.Outcome{
		Status:       result.Status,
		RequestDone:  r.responded,
		BodyConsumed: result.BodyConsumed,
	})
	l.removeFinished(r)
}

// reportOutcome passes the outcome of an attempt that ends now to the balancer. It sets the fields that identify the attempt,
// and the latency.
func (l *eventLoop) reportOutcome(a *attempt, outcome balancer.Outcome) {
	now := l.clock.Now()
	outcome.ID = a.request.ID
	outcome.Attempt = a.number
	outcome.Latency = now - a.sentAt
	l.balancer.HandleOutcome(now, l, outcome)
}
