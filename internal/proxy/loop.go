package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

const (
	eventBuffer   = 256
	sweepInterval = time.Second // between two looks at the idle connections to endpoints
)

// eventLoop owns the balancer and the table of requests. All that happens comes to it through channels and is passed to the
// balancer in that order; as the balancer.Host it carries out the decisions. Fields without a comment on their use
// elsewhere are used by its goroutine alone, once run has begun.
type eventLoop struct {
	balancer *balancer.Balancer
	clock    timing.Clock   // immutable
	pool     *upstream.Pool // safe for concurrent use
	zones    discovery.Zones
	limits   *resourceLimits // safe for concurrent use
	log      *slog.Logger

	events       chan event
	updates      chan discovery.Update // of the endpoint list
	pollRequests chan struct{}         // has discovery ask for the list; holds one
	done         chan struct{}         // closed when the loop has ended

	listed   chan struct{} // closed when there is an endpoint list
	answered chan struct{} // closed when discovery has given a list

	settings atomic.Pointer[config.Snapshot] // in force; only the loop replaces it

	detached map[string]bool     // IDs of the backends that operators have detached
	requests map[string]*request // by ID, until responded with no attempt in flight
	timers   timing.Queue[timerTarget]
	unsent   []*attempt // sends that cannot be carried out; their outcomes follow the present event

	attempts        sync.WaitGroup
	attemptsContext context.Context // of all attempts

	cutoff          balancer.Microseconds // of all requests, once a shutdown has begun; else 0
	streamingCutoff balancer.Microseconds // requests completed later get no streamed response; 0 for no such limit
}

// timerTarget is what a timer of the loop is for: a token of the balancer's, or the expiry of a request.
type timerTarget struct {
	token   string
	request *request // nil: the token counts
}

func newEventLoop(b *balancer.Balancer, zones discovery.Zones, limits *resourceLimits, snapshot *config.Snapshot,
	log *slog.Logger) *eventLoop {
	l := &eventLoop{
		balancer:     b,
		clock:        timing.NewClock(),
		pool:         limits.pool,
		zones:        zones,
		limits:       limits,
		log:          log,
		events:       make(chan event, eventBuffer),
		updates:      make(chan discovery.Update),
		pollRequests: make(chan struct{}, 1),
		done:         make(chan struct{}),
		listed:       make(chan struct{}),
		answered:     make(chan struct{}),
		requests:     map[string]*request{},
	}
	l.settings.Store(snapshot)
	return l
}

// run handles events until the context ends, and then waits until all attempts have ended.
func (l *eventLoop) run(ctx context.Context) {
	defer l.pool.Close()
	defer l.attempts.Wait()
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(l.done) // before the wait for attempts: their events are dropped from here on
	l.attemptsContext = attempts
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for l.handleNext(ctx, alarm, sweep) {
	}
}

// handleNext waits for something to happen and handles it. It reports false when the context has ended.
func (l *eventLoop) handleNext(ctx context.Context, alarm *time.Timer, sweep *time.Ticker) bool {
	// Updates of the list have priority: nothing may be sent to an endpoint that is known to drain.
	select {
	case update := <-l.updates:
		l.applyUpdate(update)
		return true
	default:
	}
	select {
	case update := <-l.updates:
		l.applyUpdate(update)
	case e := <-l.events:
		e.handle(l)
	case <-alarm.C:
	case now := <-sweep.C:
		l.pool.Sweep(now)
	case <-ctx.Done():
		return false
	}
	l.reportUnsent()
	l.fireTimers()
	if next, ok := l.timers.Next(); ok {
		alarm.Reset(time.Until(l.clock.Time(next)))
	}
	return true
}

// reportUnsent reports the sends that could not be carried out. The balancer may send again, so this goes on until none is
// left.
func (l *eventLoop) reportUnsent() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.finishAttempt(a, upstream.Result{Status: balancer.NotAttempted})
	}
}

// fireTimers handles the timers that are due.
func (l *eventLoop) fireTimers() {
	now := l.clock.Now()
	for t := l.timers.TakeDue(now); t != nil; t = l.timers.TakeDue(now) {
		if t.Value.request != nil {
			l.expire(t.Value.request)
		} else {
			l.balancer.TimerFired(now, l, t.Value.token)
		}
		l.reportUnsent()
	}
}

// applyUpdate applies an update of the endpoint list, or a failed call for one.
func (l *eventLoop) applyUpdate(update discovery.Update) {
	if update.List == nil {
		l.balancer.UpdateEndpoints(l.clock.Now(), l, balancer.FailedUpdate, nil)
		return
	}
	kind := balancer.IncrementalUpdate
	if update.List.Snapshot {
		kind = balancer.FullUpdate
	}
	l.applyList(kind, update.List)
	l.reportUnsent()
	closeOnce(l.answered)
}

// applyList applies an endpoint list or its changes, to the connections first and then to the balancer.
func (l *eventLoop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	l.pool.ApplyEndpoints(kind != balancer.IncrementalUpdate, list.Endpoints)
	l.balancer.UpdateEndpoints(l.clock.Now(), l, kind, l.zones.Endpoints(list.Endpoints))
	if kind == balancer.FullUpdate || len(list.Endpoints) > 0 {
		closeOnce(l.listed)
	}
}

// closeOnce closes a channel that nothing is sent on, unless it is closed already. One goroutine calls it.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// setDetached has exactly the backends of these IDs detached, in the connections first and then in the balancer.
func (l *eventLoop) setDetached(ids []string) {
	detached := make(map[string]bool, len(ids))
	for _, id := range ids {
		detached[id] = true
		if !l.detached[id] {
			l.pool.SetDetached(id, true)
			l.balancer.Detach(id)
		}
	}
	for id := range l.detached {
		if !detached[id] {
			l.pool.SetDetached(id, false)
			l.balancer.Attach(l.clock.Now(), id)
		}
	}
	l.detached = detached
}

// applySettings puts a snapshot in force, or changes nothing.
func (l *eventLoop) applySettings(next *config.Snapshot) error {
	if err := l.balancer.Reconfigure(next.Balancer); err != nil {
		return err
	}
	l.settings.Store(next)
	l.pool.SetTimeouts(next.Site.DialTimeout, next.Site.IdleClose)
	l.limits.set(next.Limits)
	return nil
}
