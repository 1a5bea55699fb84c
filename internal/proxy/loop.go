package proxy

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/message"
	"baylock/internal/microtime"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

const (
	sweepEvery = time.Second // idle connections to backends are looked over
	// An attempt's time-out at the end of the request's time is the module's to answer and to learn from;
	// this much later the request is failed whatever the module says.
	expireAfter = 10 * time.Millisecond
)

// request is one request that a client has handed over. The fields above answer are set before the loop
// gets it; those below belong to the loop.
type request struct {
	balancer.Request
	upstream *upstream.Request
	came     balancer.Microseconds // when its last byte had come
	wait     time.Duration
	answer   chan answer // takes the one final answer without a wait

	snapshot *config.Snapshot // it was read under these settings; the loop's, once it has it

	over    bool
	sends   int
	current *attempt           // the one that is out
	time    *timing.Timer[due] // its end, whatever the module says
}

// answer is a final answer; without a status nobody is there to take one.
type answer struct {
	status  int
	body    []byte
	content string
	after   balancer.Microseconds   // of a refusal: come again after this, in microseconds; 0 for no word
	stream  *message.ResponseStream // in place of a body: it is passed on as it comes
}

// due is what a timer of the loop is for: a token of the module's, or the end of a request's time.
type due struct {
	token string
	req   *request // nil: the token counts
}

// loop owns the Balancer and the table of requests. All that happens comes to it through channels and is
// told to the module in that order; it carries the module's decisions out as its balancer.Host.
type loop struct {
	bal    *balancer.Balancer
	clock  timing.Clock
	pool   *upstream.Pool
	zones  discovery.Zones
	log    *slog.Logger
	events chan func()
	lists  chan discovery.Update
	asked  chan struct{} // the module's word to subscribe
	listed chan struct{} // closed when there is a list
	told   chan struct{} // closed when discovery has said something

	inForce atomic.Pointer[config.Snapshot] // the settings; the loop replaces them, and each request is read under one

	detached map[string]bool     // the backends that operators have detached
	reqs     map[string]*request // until answered and no attempt is out
	timers   timing.Queue[due]
	unsent   []*attempt // Sends that cannot be carried out; their outcomes follow the present event
	attempts sync.WaitGroup
	ctx      context.Context       // of all attempts
	cutoff   balancer.Microseconds // after SIGTERM: nothing waits beyond this; else 0
	lastCall balancer.Microseconds // where another process takes over: what comes later gets no long answer; else 0
	done     chan struct{}         // closed when the loop has ended
}

func newLoop(bal *balancer.Balancer, c timing.Clock, pool *upstream.Pool, z discovery.Zones, log *slog.Logger) *loop {
	return &loop{bal: bal, clock: c, pool: pool, zones: z, log: log, events: make(chan func(), 256),
		lists: make(chan discovery.Update), asked: make(chan struct{}, 1), listed: make(chan struct{}), told: make(chan struct{}),
		reqs: map[string]*request{}, done: make(chan struct{})}
}

// run plays events until the context ends, and then until every attempt has.
func (l *loop) run(ctx context.Context) {
	defer l.pool.Close()
	defer close(l.done)
	attempts, stop := context.WithCancel(ctx)
	defer l.attempts.Wait()
	defer stop()
	l.ctx = attempts
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		// What discovery told comes before all else: nothing may go to a backend known to drain.
		select {
		case u := <-l.lists:
			l.list(u)
			continue
		default:
		}
		select {
		case u := <-l.lists:
			l.list(u)
		case f := <-l.events:
			f()
		case <-alarm.C:
		case now := <-sweep.C:
			l.pool.Sweep(now)
		case <-ctx.Done():
			return
		}
		l.settle()
		l.fire()
		if next, ok := l.timers.Next(); ok {
			alarm.Reset(time.Until(l.clock.Time(next)))
		}
	}
}

// post hands an event to the loop; it is dropped when the loop has ended.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// settle tells the module of the Sends that could not be carried out. It may send again, so this goes on
// until none is left.
func (l *loop) settle() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.outcome(a, upstream.Result{Status: balancer.NotAttempted})
	}
}

// fire plays the timers that are due.
func (l *loop) fire() {
	now := l.clock.Now()
	for t := l.timers.TakeDue(now); t != nil; t = l.timers.TakeDue(now) {
		if t.Value.req == nil {
			l.bal.TimerFired(now, l, t.Value.token)
		} else {
			l.expire(t.Value.req)
		}
		l.settle()
	}
}

// list applies what discovery said, to the connections first and then to the module.
func (l *loop) list(u discovery.Update) {
	kind := balancer.IncrementalUpdate
	if u.List == nil {
		l.bal.UpdateEndpoints(l.clock.Now(), l, balancer.FailedUpdate, nil)
		return
	}
	if u.List.Snapshot {
		kind = balancer.FullUpdate
	}
	l.apply(kind, u.List)
	l.settle()
	select {
	case <-l.told:
	default:
		close(l.told)
	}
}

// setDetached carries out which backends operators have detached, in the connections first and then in the balancer.
func (l *loop) setDetached(ids []string) {
	detached := make(map[string]bool, len(ids))
	for _, id := range ids {
		if detached[id] = true; !l.detached[id] {
			l.pool.SetDetached(id, true)
			l.bal.Detach(id)
		}
	}
	for id := range l.detached {
		if !detached[id] {
			l.pool.SetDetached(id, false)
			l.bal.Attach(l.clock.Now(), id)
		}
	}
	l.detached = detached
}

func (l *loop) apply(kind balancer.UpdateKind, list *discovery.List) {
	l.pool.ApplyEndpoints(kind != balancer.IncrementalUpdate, list.Endpoints)
	l.bal.UpdateEndpoints(l.clock.Now(), l, kind, l.zones.Endpoints(list.Endpoints))
	select {
	case <-l.listed:
	default:
		if kind == balancer.FullUpdate || len(list.Endpoints) > 0 {
			close(l.listed)
		}
	}
}

// take hands a request to the module. It has until GiveUp to end it.
func (l *loop) take(r *request) {
	if l.reqs[r.ID] != nil { // two under one id could not be told apart
		r.answer <- answer{status: http.StatusBadRequest}
		return
	}
	if !l.adopt(r) {
		return
	}
	if l.cutoff > 0 {
		r.Deadline = min(r.Deadline, l.cutoff)
	}
	l.reqs[r.ID] = r
	expiry := r.Deadline + microtime.FromDuration(expireAfter)
	if r.upstream.Stream != nil && l.cutoff == 0 { // its time has not begun
		expiry = math.MaxInt64
	}
	r.time = timing.NewTimer(expiry, due{req: r})
	l.timers.Add(r.time)
	l.bal.HandleRequest(l.clock.Now(), l, r.Request)
}

// end gives a request its final answer, if it has none yet.
func (l *loop) end(r *request, ans answer) {
	if r.over {
		return
	}
	r.over = true
	r.answer <- ans
	l.forget(r)
}

func (l *loop) forget(r *request) {
	if r.over && r.current == nil {
		delete(l.reqs, r.ID)
		l.timers.Remove(r.time)
	}
}

// uploaded takes the news that a streamed request has gone out whole: its time begins.
func (l *loop) uploaded(a *attempt, at time.Time) {
	r := a.request
	if r.over || r.current != a {
		return
	}
	a.sentAt, r.came = l.clock.At(at), l.clock.At(at)
	r.Deadline = l.clock.At(at.Add(r.wait))
	if l.cutoff > 0 {
		r.Deadline = min(r.Deadline, l.cutoff)
	}
	l.timers.Move(r.time, r.Deadline+microtime.FromDuration(expireAfter))
	l.bal.RequestUploaded(a.sentAt, r.ID, r.Deadline)
}

// begin gives a request its final answer while that still comes. Its time was that of its first bytes, and for the
// module its attempt has ended: the server's work on it is done.
func (l *loop) begin(a *attempt, d *message.ResponseStream) {
	r := a.request
	if r.over {
		a.cancel()
		return
	}
	if l.lastCall > 0 && r.came > l.lastCall {
		// SIGKILL might cut the answer off in its middle. A failed request is no lost one.
		l.withdraw(r, answer{status: http.StatusBadGateway})
		return
	}
	a.forwarding = true
	l.end(r, answer{status: http.StatusOK, content: d.ContentType, stream: d})
	now := l.clock.Now()
	l.bal.HandleOutcome(now, l, balancer.Outcome{ID: r.ID, Attempt: a.number, Status: balancer.OK, Latency: now - a.sentAt, RequestDone: true})
}

// withdraw ends a request that nobody waits for any more, and its attempt.
func (l *loop) withdraw(r *request, ans answer) {
	if r.over {
		if r.current != nil && r.current.forwarding { // an answer that nobody has taken
			r.current.cancel()
		}
		return
	}
	l.end(r, ans)
	l.bal.CancelRequest(l.clock.Now(), l, r.ID)
	if r.current != nil {
		r.current.cancel()
	}
}

// expire fails a request that the module has not ended in its time.
func (l *loop) expire(r *request) {
	if !r.over {
		l.withdraw(r, answer{status: http.StatusGatewayTimeout})
	}
}

// hurry is for SIGTERM: all requests end by cutoff, since the process may be killed soon after.
func (l *loop) hurry(cutoff, lastCall balancer.Microseconds) {
	l.cutoff, l.lastCall = cutoff, lastCall
	for _, r := range l.reqs {
		if r.time.Due() > cutoff {
			l.timers.Move(r.time, cutoff)
		}
	}
}

// outcome tells the module how an attempt ended; a served request has its answer first.
func (l *loop) outcome(a *attempt, res upstream.Result) {
	r := a.request
	if r.current == a {
		r.current = nil
	}
	if a.forwarding { // the module knows
		l.forget(r)
		return
	}
	if res.Status == balancer.OK {
		l.end(r, answer{status: http.StatusOK, body: res.Body, content: res.ContentType})
	}
	if res.ClientGone {
		l.end(r, answer{})
	}
	if res.ClientFault != 0 {
		// The client's fault is no evidence against the backend, and another would say the same.
		l.end(r, answer{status: res.ClientFault})
		res.Status = balancer.NotAttempted
	}
	now := l.clock.Now()
	l.bal.HandleOutcome(now, l, balancer.Outcome{ID: r.ID, Attempt: a.number, Status: res.Status, Latency: now - a.sentAt,
		RequestDone: r.over, BodyConsumed: res.BodyConsumed})
	l.forget(r)
}

// Send implements balancer.Host.
func (l *loop) Send(id, server string, timeout, lapse balancer.Microseconds) {
	r := l.reqs[id]
	if r == nil {
		l.log.Error("send for an unknown request", "id", id)
		return
	}
	now := l.clock.Now()
	until := r.Deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{loop: l, request: r, number: r.sends, sentAt: now, responseTimeout: (until - now).Duration()}
	a.Attempt = &upstream.Attempt{Request: r.upstream, Deadline: l.clock.Time(until), Observer: a}
	if lapse != 0 {
		a.DedupDeadline = l.clock.Time(lapse)
	}
	r.sends++
	var ok bool
	if a.Target, ok = l.pool.Find(server); !ok || r.over || r.current != nil { // never two attempts of a request at once
		l.unsent = append(l.unsent, a)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	a.cancel = cancel
	r.current = a
	l.attempts.Add(1)
	go func() {
		defer l.attempts.Done()
		res := a.Run(ctx)
		cancel()
		l.post(func() { l.outcome(a, res) })
	}()
}

// Reject implements balancer.Host.
func (l *loop) Reject(id string, after balancer.Microseconds) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusServiceUnavailable, after: after})
	}
}

// Fail implements balancer.Host.
func (l *loop) Fail(id string) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusBadGateway})
	}
}

// SetTimer implements balancer.Host.
func (l *loop) SetTimer(delay balancer.Microseconds, token string) {
	l.timers.Add(timing.NewTimer(l.clock.Now()+delay, due{token: token}))
}

// Subscribe implements balancer.Host. Where the list is pushed the watch stands anyway.
func (l *loop) Subscribe() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// Log implements balancer.Host.
func (l *loop) Log(line string) { l.log.Info(line) }
