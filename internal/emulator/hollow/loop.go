package hollow

import (
	"context"
	"strconv"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/microtime"
	"baylock/internal/timing"
)

const (
	// The module answers a request by its deadline; so much later the request is failed whatever the module says.
	expireAfter = 10 * time.Millisecond

	eventBuffer = 16 // events that wait for the loop without blocking who has them
)

type eventKind uint8

const (
	callTaken eventKind = iota
	callWithdrawn
	attemptEnded
)

// event is what happens to the loop from outside, but for lists.
type event struct {
	kind    eventKind
	request *request
	attempt *attempt        // of attemptEnded
	status  balancer.Status // of attemptEnded
}

// request is one call. Only call and answer are set before the loop has it.
type request struct {
	call   Call
	answer chan Result // takes the one final answer without a wait; nil for a drawn call

	giveUp   balancer.Microseconds
	over     bool
	sends    int // that the module asked for
	attempts int // that were carried out
	current  *attempt
	expiry   *timing.Timer[due]
}

// attempt is one send of a request.
type attempt struct {
	request *request
	number  int
	sent    balancer.Microseconds
	stop    context.CancelFunc // gives it up; nil if it was not carried out
}

// loop owns the Balancer and the table of requests. It tells the module all that happens, one event after the other,
// and carries its decisions out as its balancer.Host.
type loop struct {
	cfg      Config
	balancer *balancer.Balancer
	zones    discovery.Zones
	clock    timing.Clock
	drawer   *drawer

	events        chan event
	lists         chan discovery.Update
	watchRequests chan struct{} // the module's word to watch the list
	done          chan struct{} // closed when the loop has ended

	requests map[string]*request // until answered and no attempt is out
	timers   timing.Queue[due]
	unsent   []*attempt // that cannot be carried out; their outcomes follow the present event
	attempts sync.WaitGroup
	ctx      context.Context // of all attempts
}

func newLoop(cfg Config, balancer *balancer.Balancer) *loop {
	return &loop{cfg: cfg, balancer: balancer, zones: discovery.NewZones(cfg.Zones), clock: timing.NewClock(),
		drawer: newDrawer(cfg), events: make(chan event, eventBuffer), lists: make(chan discovery.Update),
		watchRequests: make(chan struct{}, 1), done: make(chan struct{}), requests: map[string]*request{}}
}

// run plays events until the context ends, and then waits until every attempt has ended.
func (l *loop) run(ctx context.Context) {
	defer l.attempts.Wait()
	defer close(l.done)
	attempts, stop := context.WithCancel(ctx)
	defer stop()
	l.ctx = attempts
	l.drawNext(l.clock.Now())
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for l.next(ctx, alarm) {
		l.settle()
		l.fire()
		if next, ok := l.timers.Next(); ok {
			alarm.Reset(time.Until(l.clock.Time(next)))
		}
	}
}

// next waits for one event and plays it. It returns false once the context has ended. Lists come before all else:
// nothing may go to a backend known to drain.
func (l *loop) next(ctx context.Context, alarm *time.Timer) bool {
	select {
	case update := <-l.lists:
		l.list(update)
		return true
	default:
	}
	select {
	case update := <-l.lists:
		l.list(update)
	case e := <-l.events:
		l.play(e)
	case <-alarm.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (l *loop) play(e event) {
	switch e.kind {
	case callTaken:
		l.take(e.request)
	case callWithdrawn:
		l.withdraw(e.request, Result{})
	case attemptEnded:
		l.outcome(e.attempt, e.status)
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

// settle tells the module of the sends that could not be carried out. It may send again, so this goes on until none
// is left.
func (l *loop) settle() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.outcome(a, balancer.NotAttempted)
	}
}

// fire plays the timers that are due.
func (l *loop) fire() {
	now := l.clock.Now()
	for t := l.timers.TakeDue(now); t != nil; t = l.timers.TakeDue(now) {
		switch t.Value.kind {
		case moduleTimer:
			l.balancer.TimerFired(now, l, t.Value.token)
		case requestExpiry:
			l.withdraw(t.Value.request, Result{})
		case drawnCall:
			l.take(&request{call: l.drawer.call()})
			l.drawNext(t.Due())
		}
		l.settle()
	}
}

// drawNext sets the timer of the next drawn call, if calls are drawn. It counts from when the last one was due: timers
// are late, and the rate would fall short by that.
func (l *loop) drawNext(last balancer.Microseconds) {
	if l.cfg.CallsPerSecond > 0 {
		l.timers.Add(timing.NewTimer(last+microtime.FromDuration(l.drawer.wait()), due{kind: drawnCall}))
	}
}

// list tells the module what a call to discovery brought.
func (l *loop) list(update discovery.Update) {
	if update.List == nil {
		l.balancer.UpdateEndpoints(l.clock.Now(), l, balancer.FailedUpdate, nil)
		return
	}
	kind := balancer.IncrementalUpdate
	if update.List.Snapshot {
		kind = balancer.FullUpdate
	}
	l.apply(kind, update.List)
	if l.cfg.Applied != nil {
		l.cfg.Applied(update.List, time.Now())
	}
}

func (l *loop) apply(kind balancer.UpdateKind, list *discovery.List) {
	l.balancer.UpdateEndpoints(l.clock.Now(), l, kind, l.zones.Endpoints(list.Endpoints))
}

// take hands a request to the module. It has until the request's deadline to end it.
func (l *loop) take(r *request) {
	if l.requests[r.call.ID] != nil { // two under one ID could not be told apart
		l.end(r, Result{})
		return
	}
	now := l.clock.Now()
	r.giveUp = l.deadline(now, r.call)
	l.requests[r.call.ID] = r
	r.expiry = timing.NewTimer(r.giveUp+microtime.FromDuration(expireAfter), due{kind: requestExpiry, request: r})
	l.timers.Add(r.expiry)
	l.balancer.HandleRequest(now, l, balancer.Request{ID: r.call.ID, Class: r.call.Class, Tenant: r.call.Tenant, Key: r.call.Key,
		Deadline: r.giveUp})
}

func (l *loop) deadline(now balancer.Microseconds, call Call) balancer.Microseconds {
	if !call.Deadline.IsZero() {
		return l.clock.At(call.Deadline)
	}
	if classes := l.cfg.Settings.Classes; call.Class >= 0 && call.Class < len(classes) {
		return now + classes[call.Class].Deadline
	}
	return now // the module fails it
}

// end gives a request its final answer, if it has none yet.
func (l *loop) end(r *request, result Result) {
	if r.over {
		return
	}
	r.over = true
	result.Attempts = r.attempts
	if r.answer != nil {
		r.answer <- result
	} else if l.cfg.Answered != nil {
		l.cfg.Answered(r.call, result)
	}
	l.forget(r)
}

// forget drops a request that is answered and has no attempt out.
func (l *loop) forget(r *request) {
	if !r.over || r.current != nil || l.requests[r.call.ID] != r {
		return
	}
	delete(l.requests, r.call.ID)
	l.timers.Remove(r.expiry)
}

// withdraw ends a request that nobody waits for any more, and its attempt.
func (l *loop) withdraw(r *request, result Result) {
	if r.over {
		return
	}
	l.end(r, result)
	l.balancer.CancelRequest(l.clock.Now(), l, r.call.ID)
	if r.current != nil {
		r.current.stop()
	}
}

// outcome tells the module how an attempt ended; a served request has its answer first.
func (l *loop) outcome(a *attempt, status balancer.Status) {
	r := a.request
	if r.current == a {
		r.current = nil
	}
	if status == balancer.OK {
		l.end(r, Result{Outcome: Served})
	}
	now := l.clock.Now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{ID: r.call.ID, Attempt: a.number, Status: status, Latency: now - a.sent,
		RequestDone: r.over})
	l.forget(r)
}

// Send implements balancer.Host. The time lapse, by which a repeat's last byte has to reach the server, needs no care:
// an attempt goes out at once.
func (l *loop) Send(id, server string, timeout, _ balancer.Microseconds) {
	r := l.requests[id]
	if r == nil { // the module knows only requests of the table
		panic("hollow proxy: send for the unknown request " + strconv.Quote(id))
	}
	now := l.clock.Now()
	until := r.giveUp
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{request: r, number: r.sends, sent: now}
	r.sends++
	if l.cfg.Upstream == nil || r.over || r.current != nil { // never two attempts of a request at once
		l.unsent = append(l.unsent, a)
		return
	}
	r.current = a
	r.attempts++
	l.start(a, server, l.clock.Time(until))
}

// start carries an attempt out.
func (l *loop) start(a *attempt, server string, until time.Time) {
	ctx, stop := context.WithDeadline(l.ctx, until)
	a.stop = stop
	call := a.request.call
	call.Deadline = until
	l.attempts.Go(func() {
		defer stop()
		status := l.cfg.Upstream.Attempt(ctx, server, call)
		if status == balancer.Cancelled && ctx.Err() == context.DeadlineExceeded {
			status = balancer.TimedOut
		}
		l.post(context.Background(), event{kind: attemptEnded, attempt: a, status: status})
	})
}

// Reject implements balancer.Host.
func (l *loop) Reject(id string, after balancer.Microseconds) {
	if r := l.requests[id]; r != nil {
		l.end(r, Result{Outcome: Refused, RetryAfter: after.Duration()})
	}
}

// Fail implements balancer.Host.
func (l *loop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.end(r, Result{})
	}
}

// SetTimer implements balancer.Host.
func (l *loop) SetTimer(delay balancer.Microseconds, token string) {
	l.timers.Add(timing.NewTimer(l.clock.Now()+delay, due{kind: moduleTimer, token: token}))
}

// Subscribe implements balancer.Host. Where the list is pushed the watch stands anyway.
func (l *loop) Subscribe() {
	select {
	case l.watchRequests <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host. The module's reports of a thousand proxies are of no use.
func (l *loop) Log(string) {}
