package proxy

import (
	"context"
	"errors"
	"time"

	"baylock/balancer"
	"baylock/internal/config"
	"baylock/internal/downstream"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Errors of call for an event that the loop has not handled.
var (
	errLoopEnded  = errors.New("the proxy has ended")
	errLoopBusy   = errors.New("the proxy is too busy to say")
	errNotDoneYet = errors.New("not done yet")
)

// event is something that happens to the event loop, besides updates of the endpoint list and timers. Its handle method
// runs on the loop's goroutine.
type event interface{ handle(*eventLoop) }

// requestSubmitted: a client's request has arrived.
type requestSubmitted struct{ request *downstream.Request }

// requestCanceled: nobody waits for a request's response any more.
type requestCanceled struct{ request *downstream.Request }

// uploadFinished: the last byte of a streamed request has been written to its endpoint.
type uploadFinished struct {
	attempt *attempt
	at      time.Time
}

// responseStarted: an endpoint has begun a response that is forwarded as it arrives.
type responseStarted struct {
	attempt  *attempt
	response *message.ResponseStream
}

// attemptFinished: nothing is left of an attempt.
type attemptFinished struct {
	attempt *attempt
	result  upstream.Result
}

// settingsChanged: a reload puts a snapshot in force. err is why it can't; then nothing has changed.
type settingsChanged struct {
	snapshot *config.Snapshot
	err      error
}

// detachedChanged: operators have detached or attached backends.
type detachedChanged struct{ backendIDs []string } // all that are detached now

// backendQueried asks whether the endpoint list has a backend.
type backendQueried struct {
	backendID string
	listed    bool
}

// learnedStateQueried asks for what the balancer has learned.
type learnedStateQueried struct{ learned balancer.LearnedState }

// shutdownBegun: the process shuts down.
type shutdownBegun struct {
	cutoff          balancer.Microseconds // all requests end by then
	streamingCutoff balancer.Microseconds // requests completed later get no streamed response; 0 for no such limit
}

func (e requestSubmitted) handle(l *eventLoop) { l.takeRequest(e.request) }

func (e requestCanceled) handle(l *eventLoop) {
	if r := l.requests[e.request.ID]; r != nil && r.Request == e.request {
		l.cancel(r, downstream.Response{})
	}
}

func (e uploadFinished) handle(l *eventLoop)  { l.startTimeout(e.attempt, e.at) }
func (e responseStarted) handle(l *eventLoop) { l.respondWithStream(e.attempt, e.response) }
func (e attemptFinished) handle(l *eventLoop) { l.finishAttempt(e.attempt, e.result) }
func (e *settingsChanged) handle(l *eventLoop) {
	e.err = l.applySettings(e.snapshot)
}
func (e detachedChanged) handle(l *eventLoop) { l.setDetached(e.backendIDs) }
func (e *backendQueried) handle(l *eventLoop) { e.listed = l.pool.Contains(e.backendID) }
func (e *learnedStateQueried) handle(l *eventLoop) {
	e.learned = l.balancer.ExportState()
}
func (e shutdownBegun) handle(l *eventLoop) { l.beginShutdown(e.cutoff, e.streamingCutoff) }

// awaitedEvent closes done when an event has been handled.
type awaitedEvent struct {
	event
	done chan struct{}
}

func (e awaitedEvent) handle(l *eventLoop) {
	e.event.handle(l)
	close(e.done)
}

// post hands an event to the loop. It is dropped when the loop has ended.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// call hands an event to the loop and waits until it has been handled. After an error the loop may still handle it, so
// that the caller must not read its results.
func (l *eventLoop) call(ctx context.Context, e event) error {
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
		return errNotDoneYet
	}
}
