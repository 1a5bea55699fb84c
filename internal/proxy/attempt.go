package proxy

import (
	"context"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// attempt is one attempt to send a request to an endpoint. Only the event loop uses it, except for the upstream.Observer
// methods, which the attempt's own goroutine calls.
type attempt struct {
	*upstream.Attempt
	loop            *eventLoop
	request         *request
	number          int                   // index among the request's attempts, from 0
	sentAt          balancer.Microseconds // when the balancer sent it, or when the last byte of a streamed request was written
	responseTimeout time.Duration         // for the response to a streamed request, from the end of the upload on; 0 for none
	completedAt     balancer.Microseconds // when the request was fully received; not changed once the response has started
	requestDeadline balancer.Microseconds // not changed once the response has started
	cancel          context.CancelFunc    // set while the attempt is in flight
	forwarding      bool                  // the response is being forwarded
}

// UploadFinished implements upstream.Observer.
func (a *attempt) UploadFinished(at, earliestEnd time.Time) (deadline time.Time) {
	a.completedAt = a.loop.clock.At(at)
	deadline = earliestEnd.Add(a.request.Timeout)
	a.requestDeadline = a.loop.clock.At(deadline)
	a.loop.post(uploadFinished{a, at})
	if limit := at.Add(a.responseTimeout); a.responseTimeout > 0 && limit.Before(deadline) {
		return limit
	}
	return deadline
}

// MayForward implements upstream.Observer.
func (a *attempt) MayForward() bool { return a.loop.mayStream(a.completedAt) }

// RequestDeadline implements upstream.Observer.
func (a *attempt) RequestDeadline() time.Time { return a.loop.clock.Time(a.requestDeadline) }

// ResponseStarted implements upstream.Observer.
func (a *attempt) ResponseStarted(response *message.ResponseStream) {
	a.loop.post(responseStarted{a, response})
}
