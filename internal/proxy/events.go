package proxy

import (
	"context"
	"errors"
	"time"

	"baylock/balancer"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/downstream"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Errors that postAndWait returns for an event that the loop has not handled.
var (
	errLoopEnded        = errors.New("the proxy has shut down")
	errLoopBusy         = errors.New("the proxy is too busy to handle the operation")
	errNotHandledInTime = errors.New("the operation has not completed in time and may still take effect")
)

// event is an input of the event loop other than an endpoint list update or a timer. Its handle method runs on the loop's
// goroutine.
type event interface{ handle(*eventLoop) }

// requestSubmitted is posted when a client's request has arrived.
type requestSubmitted struct{ request *downstream.Request }

// requestCanceled is posted when a client has disconnected. Its request may have a response already.
type requestCanceled struct{ request *downstream.Request }

// uploadFinished is posted when the last byte of a streamed request has been written to the endpoint.
type uploadFinished struct {
	attempt *attempt
	at      time.Time
}

// responseStarted is posted when an endpoint has started a response that is forwarded as it arrives.
type responseStarted struct {
	attempt  *attempt
	response *message.ResponseStream
}

// attemptFinished is posted when an attempt has ended and released everything it used.
type attemptFinished struct {
	attempt *attempt
	result  upstream.Result
}

// settingsChanged is posted by a reload to put a snapshot in force. Its handler sets err if the snapshot could not be
// applied; nothing has changed then.
type settingsChanged struct {
	snapshot *config.Snapshot
	err      error
}

// detachedChanged is posted to apply the set of backends that operators have detached.
type detachedChanged struct{ backendIDs []string } // all backends that are detached now

// backendQueried is posted to find out whether a backend is on the endpoint list. Its handler sets listed.
type backendQueried struct {
	backendID string
	listed    bool
}

// learnedStateQueried is posted to export the balancer's learned state. Its handler sets learned.
type learnedStateQueried struct{ learned balancer.LearnedState }

// endpointsQueried is posted to get the endpoint list in use. Its handler sets list.
type endpointsQueried struct{ list *discovery.List }

// peersChecked is posted at intervals while another process of this proxy is running, and once after the last one has ended.
type peersChecked struct{}

// endpointsHandedOver is posted with the endpoint list of the process that this one takes over from.
type endpointsHandedOver struct{ list *discovery.List }

// shutdownBegun is posted when the process starts to shut down.
type shutdownBegun struct {
	cutoff          balancer.Microseconds // requests without a response fail at this time
	streamingCutoff balancer.Microseconds // requests fully received later get no streamed response
}

func (e requestSubmitted) handle(l *eventLoop) { l.acceptRequest(e.request) }

func (e requestCanceled) handle(l *eventLoop) {
	if r := l.requests[e.request.ID]; r != nil && r.Request == e.request {
		r.departed = true
		l.cancel(r, downstream.Response{})
		return
	}
	l.recordDeparture(e.request)
}

func (e uploadFinished) handle(l *eventLoop)  { l.startTimeout(e.attempt, e.at) }
func (e responseStarted) handle(l *eventLoop) { l.respondWithStream(e.attempt, e.response) }
func (e attemptFinished) handle(l *eventLoop) {
	l.attemptsInFlight--
	l.finishAttempt(e.attempt, e.result)
}
func (e *settingsChanged) handle(l *eventLoop) {
	e.err = l.applySettings(e.snapshot)
}
func (e detachedChanged) handle(l *eventLoop) { l.setDetached(e.backendIDs) }
func (e *backendQueried) handle(l *eventLoop) { e.listed = l.pool.Contains(e.backendID) }
func (e *learnedStateQueried) handle(l *eventLoop) {
	e.learned = l.balancer.ExportState()
}
func (e *endpointsQueried) handle(l *eventLoop)   { e.list = l.catalog.List() }
func (peersChecked) handle(l *eventLoop)          { l.checkPeers() }
func (e endpointsHandedOver) handle(l *eventLoop) { l.takeOverEndpoints(e.list) }
func (e shutdownBegun) handle(l *eventLoop)       { l.beginShutdown(e.cutoff, e.streamingCutoff) }

// awaitedEvent wraps an event and closes done when the event has been handled.
type awaitedEvent struct {
	event
	done chan struct{}
}

func (e awaitedEvent) handle(l *eventLoop) {
	e.event.handle(l)
	close(e.done)
}

// post sends an event to the loop. The event is dropped if the loop has ended.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postAndWait sends an event to the loop and waits until it has been handled. After an error the loop may still handle the
// event, so the caller must not read its results.
func (l *eventLoop) postAndWait(ctx context.Context, e event) error {
	awaited := awaitedEvent{e, make(chan struct{})}
	select {
	case l.events <- awaited:
	case <-l.done:
		return errLoopEnded
	case <-ctx.Done():
		return errLoopBusy
	}
	select {
	case <-awaited.done:
		return nil
	case <-l.done:
		return errLoopEnded
	case <-ctx.Done():
		return errNotHandledInTime
	}
}
