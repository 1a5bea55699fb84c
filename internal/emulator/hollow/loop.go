package hollow

import (
	"context"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/microtime"
	"baylock/internal/timing"
)

const (
	// expiryGrace is how long the loop waits after a request's deadline for the balancer's answer. After that it fails
	// the request itself.
	expiryGrace = 10 * time.Millisecond

	eventBuffer = 16 // capacity of the event channel; senders block while it is full
)

type eventKind uint8

const (
	callArrived eventKind = iota
	callCancelled
	attemptEnded
)

// event is an event for the loop. Updates of the endpoint list use a separate channel.
type event struct {
	kind    eventKind
	request *request
	attempt *attempt        // only with attemptEnded
	status  balancer.Status // only with attemptEnded
}

// request is the loop's state of one call. Only call and result are set before the loop receives it.
type request struct {
	call   Call
	result chan Result // buffered, so that sending the only answer never blocks; nil for a generated call

	deadline          balancer.Microseconds
	done              bool // the request has its final answer
	attemptsRequested int  // number of attempts that the balancer has requested with Send
	attemptsSent      int  // number of requested attempts that were sent
	inFlight          *attempt
	expiryTimer       *timing.Timer[timerEvent]
}

// attempt is one attempt of a request.
type attempt struct {
	request *request
	number  int
	sent    balancer.Microseconds
	cancel  context.CancelFunc // nil if the attempt was not sent
}

// loop is the event loop of a Proxy. It owns the balancer and the table of requests, passes events to the balancer one
// at a time, and implements balancer.Host to carry out the balancer's decisions.
type loop struct {
	cfg       Config
	balancer  *balancer.Balancer
	zones     discovery.Zones
	clock     timing.Clock
	generator *generator

	events        chan event
	updates       chan discovery.Update
	watchRequests chan struct{} // holds an element if the balancer has requested a watch of the endpoint list
	done          chan struct{} // closed when the loop ends

	requests          map[string]*request // by ID; a request stays until it is done and has no attempt in flight
	timers            timing.Queue[timerEvent]
	unsent            []*attempt      // attempts that could not be sent, to be reported after the current event
	attemptGoroutines sync.WaitGroup  // one for each attempt in flight
	attemptsContext   context.Context // parent of the contexts of all attempts
}

func newLoop(cfg Config, balancer *balancer.Balancer) *loop {
	return &loop{
		cfg:           cfg,
		balancer:      balancer,
		zones:         discovery.NewZones(cfg.Zones),
		clock:         timing.NewClock(),
		generator:     newGenerator(cfg),
		events:        make(chan event, eventBuffer),
		updates:       make(chan discovery.Update),
		watchRequests: make(chan struct{}, 1),
		done:          make(chan struct{}),
		requests:      map[string]*request{},
	}
}

// run handles events until the context ends, and then waits until every attempt has ended.
func (l *loop) run(ctx context.Context) {
	defer l.attemptGoroutines.Wait()
	defer close(l.done)
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	l.attemptsContext = attempts
	l.scheduleNextCall(l.clock.Now())
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for l.waitForEvent(ctx, wakeUp) {
		l.reportUnsent()
		l.fireTimers()
		if next, ok := l.timers.Next(); ok {
			wakeUp.Reset(time.Until(l.clock.Time(next)))
		}
	}
}

// waitForEvent waits for one event and handles it, or returns when a timer is due. It returns false if the context has
// ended. Updates of the endpoint list take precedence over other events, because nothing may be sent to a backend that
// is known to be draining.
func (l *loop) waitForEvent(ctx context.Context, wakeUp *time.Timer) bool {
	select {
	case update := <-l.updates:
		l.handleUpdate(update)
		return true
	default:
	}
	select {
	case update := <-l.updates:
		l.handleUpdate(update)
	case e := <-l.events:
		l.handleEvent(e)
	case <-wakeUp.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (l *loop) handleEvent(e event) {
	switch e.kind {
	case callArrived:
		l.handleCall(e.request)
	case callCancelled:
		l.cancelCall(e.request)
	case attemptEnded:
		l.handleOutcome(e.attempt, e.status)
	}
}

// post sends an event to the loop. It returns false if the loop or the context has ended.
func (l *loop) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// reportUnsent reports to the balancer the attempts that could not be sent. It repeats this while the balancer responds
// with further attempts that cannot be sent.
func (l *loop) reportUnsent() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.handleOutcome(a, balancer.NotAttempted)
	}
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers() {
	now := l.clock.Now()
	for t := l.timers.TakeDue(now); t != nil; t = l.timers.TakeDue(now) {
		switch t.Value.kind {
		case balancerTimer:
			l.balancer.TimerFired(now, l, t.Value.token)
		case requestExpiryTimer:
			l.cancelCall(t.Value.request)
		case nextCallTimer:
			l.handleCall(&request{call: l.generator.nextCall()})
			l.scheduleNextCall(t.Due())
		}
		l.reportUnsent()
	}
}

// scheduleNextCall sets the timer of the next generated call, if there is a call rate. The interval begins when the
// previous call was due, not when its timer fired; otherwise late timers would reduce the rate.
func (l *loop) scheduleNextCall(previous balancer.Microseconds) {
	if l.cfg.CallRate > 0 {
		due := previous + microtime.FromDuration(l.generator.nextInterval())
		l.timers.Add(timing.NewTimer(due, timerEvent{kind: nextCallTimer}))
	}
}

// handleUpdate passes an update from discovery to the balancer.
func (l *loop) handleUpdate(update discovery.Update) {
	if update.List == nil {
		l.balancer.UpdateEndpoints(l.clock.Now(), l, balancer.FailedUpdate, nil)
		return
	}
	kind := balancer.IncrementalUpdate
	if update.List.Snapshot {
		kind = balancer.FullUpdate
	}
	l.applyList(kind, update.List)
	if l.cfg.OnListApplied != nil {
		l.cfg.OnListApplied(update.List, time.Now())
	}
}

func (l *loop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	l.balancer.UpdateEndpoints(l.clock.Now(), l, kind, l.zones.Endpoints(list.Endpoints))
}
