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
	// expiryGrace is the time after a request's deadline within which the balancer answers it. Afterwards the loop
	// fails it by itself.
	expiryGrace = 10 * time.Millisecond

	eventBuffer = 16 // events that do not block their senders
)

type eventKind uint8

const (
	callArrived eventKind = iota
	callCancelled
	attemptEnded
)

// event is an event for the loop. Updates of the endpoint list have a channel of their own.
type event struct {
	kind    eventKind
	request *request
	attempt *attempt        // of attemptEnded
	status  balancer.Status // of attemptEnded
}

// request is the loop's state of one call. Only call and result are set before the loop has it.
type request struct {
	call   Call
	result chan Result // receives the one final answer without blocking; nil for a generated call

	deadline     balancer.Microseconds
	done         bool // it has its final answer
	sendCount    int  // attempts that the balancer has decided
	attemptCount int  // of these, those that were sent
	inFlight     *attempt
	expiryTimer  *timing.Timer[timerEvent]
}

// attempt is one attempt of a request.
type attempt struct {
	request *request
	number  int
	sent    balancer.Microseconds
	cancel  context.CancelFunc // nil if the attempt was not sent
}

// loop owns the balancer and the table of requests. It hands the balancer one event after the other, and implements
// balancer.Host to carry out its decisions.
type loop struct {
	cfg       Config
	balancer  *balancer.Balancer
	zones     discovery.Zones
	clock     timing.Clock
	generator *generator

	events        chan event
	updates       chan discovery.Update
	watchRequests chan struct{} // the balancer asks for a watch of the endpoint list
	done          chan struct{} // closed when the loop has ended

	requests        map[string]*request // by ID, until they are done and have no attempt in flight
	timers          timing.Queue[timerEvent]
	unsent          []*attempt      // attempts that cannot be sent; their outcomes follow the present event
	running         sync.WaitGroup  // of attempts in flight
	attemptsContext context.Context // of all attempts
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
	defer l.running.Wait()
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

// waitForEvent waits for one event and handles it. It returns false once the context has ended. Updates of the endpoint
// list come first: nothing may be sent to a backend that is known to drain.
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

// post hands an event to the loop. It returns false if the loop or the context has ended.
func (l *loop) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// reportUnsent reports the outcomes of attempts that could not be sent, until the balancer decides no more of them.
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
// last call was due, not when its timer fired, as the rate would otherwise fall short.
func (l *loop) scheduleNextCall(last balancer.Microseconds) {
	if l.cfg.CallRate > 0 {
		due := last + microtime.FromDuration(l.generator.nextInterval())
		l.timers.Add(timing.NewTimer(due, timerEvent{kind: nextCallTimer}))
	}
}

// handleUpdate hands an update from discovery to the balancer.
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
