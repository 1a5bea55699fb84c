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
	responseTimeout time.Duration         // for the response to a streamed request, from the request's last byte on
	completedAt     balancer.Microseconds // when the request was fully received; not changed once the response has started
	cancel          context.CancelFunc    // set while the attempt is in flight
	forwarding      bool                  // the response is being forwarded
}

// UploadFinished implements upstream.Observer.
func (a *attempt) UploadFinished(at time.Time) (deadline time.Time) {
	a.completedAt = a.loop.clock.At(at)
	a.loop.post(uploadFinished{a, at})
	return at.Add(a.responseTimeout)
}

// MayForward implements upstream.Observer.
func (a *attempt) MayForward() bool { return a.loop.mayStream(a.completedAt) }

// RequestDeadline implements upstream.Observer.
func (a *attempt) RequestDeadline() time.Time {
	return a.loop.clock.Time(a.completedAt).Add(a.request.Timeout)
}

// ResponseStarted implements upstream.Observer.
func (a *attempt) ResponseStarted(response *message.ResponseStream) {
	a.loop.post(responseStarted{a, response})
}
