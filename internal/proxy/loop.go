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
	eventBuffer   = 256         // capacity of the events channel
	sweepInterval = time.Second // between two checks of the idle connections to endpoints
)

// eventLoop owns the balancer and the table of open requests. It receives events and endpoint list updates through
// channels and handles them one at a time, events in the order of their arrival. It implements balancer.Host, so it also
// carries out the balancer's decisions. Once run has started, only its goroutine uses the fields, except for the channels,
// the logger and the fields whose comments allow other uses.
type eventLoop struct {
	balancer *balancer.Balancer
	clock    timing.Clock    // immutable
	pool     *upstream.Pool  // safe for concurrent use
	zones    discovery.Zones // immutable
	limits   *resourceLimits // safe for concurrent use
	log      *slog.Logger

	events       chan event
	updates      chan discovery.Update // updates of the endpoint list
	pollRequests chan struct{}         // a value requests a poll of the endpoint list; buffers one value
	done         chan struct{}         // closed when the loop has ended

	endpointListReady chan struct{} // closed when an endpoint list is known, possibly a cached one
	discoveryAnswered chan struct{} // closed when discovery has sent an update of the endpoint list

	settings atomic.Pointer[config.Snapshot] // in force; any goroutine may load it, only the loop replaces it

	catalog     *discovery.Catalog // the endpoint list for another process of this proxy; nil if there can be none
	listUpdates atomic.Int64       // updates of the catalog so far; any goroutine may load it, only the loop adds to it

	departed *departures         // IDs of requests whose clients have left
	detached map[string]bool     // IDs of the backends that operators have detached
	requests map[string]*request // by ID; removed once they have their response and no attempt in flight
	timers   timing.Queue[timerTarget]
	unsent   []*attempt // attempts that could not be sent; reported to the balancer after the current event

	attempts         sync.WaitGroup  // the goroutines that run attempts
	attemptsInFlight int64           // attempts whose end has not been handled
	attemptsContext  context.Context // parent of all attempts' contexts

	cutoff balancer.Microseconds // when requests without a response fail; 0 unless shutting down

	// streamingCutoff is a time in the balancer's microseconds: requests that are fully received later get no streamed
	// response. It is 0 unless the process is shutting down. Any goroutine may load it, only the loop sets it.
	streamingCutoff atomic.Int64
}

// timerTarget is the purpose of one of the loop's timers: the expiry of a request, or a timer that the balancer has set.
type timerTarget struct {
	token   string   // of the balancer's timer
	request *request // nil for a timer of the balancer
}

func newEventLoop(b *balancer.Balancer, zones discovery.Zones, limits *resourceLimits, snapshot *config.Snapshot,
	log *slog.Logger) *eventLoop {
	l := &eventLoop{
		balancer:          b,
		clock:             timing.NewClock(),
		pool:              limits.pool,
		zones:             zones,
		limits:            limits,
		log:               log,
		events:            make(chan event, eventBuffer),
		updates:           make(chan discovery.Update),
		pollRequests:      make(chan struct{}, 1),
		done:              make(chan struct{}),
		endpointListReady: make(chan struct{}),
		discoveryAnswered: make(chan struct{}),
		requests:          map[string]*request{},
		departed:          newDepartures(snapshot.Limits.MemoryMB, log),
	}
	l.settings.Store(snapshot)
	return l
}

// run handles events until the context is canceled, and then waits until all attempts have ended.
func (l *eventLoop) run(ctx context.Context) {
	defer l.departed.close()
	defer l.pool.Close()
	defer l.attempts.Wait()
	attemptsContext, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(l.done) // runs before attempts.Wait, so that attempts don't wait for the loop to receive their events
	l.attemptsContext = attemptsContext
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for l.handleNext(ctx, timer, sweep) {
	}
}

// handleNext waits for the next event, update or timer and handles it. It returns false when the context is canceled.
func (l *eventLoop) handleNext(ctx context.Context, timer *time.Timer, sweep *time.Ticker) bool {
	// Updates of the endpoint list have priority over events: no attempt may be sent to an endpoint that is already
	// reported as draining.
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
	case <-timer.C:
	case now := <-sweep.C:
		l.pool.Sweep(now)
	case <-ctx.Done():
		return false
	}
	l.reportUnsent()
	l.fireTimers()
	if next, ok := l.timers.Next(); ok {
		timer.Reset(time.Until(l.clock.Time(next)))
	}
	return true
}

// reportUnsent tells the balancer about the attempts that could not be sent. The balancer may react with another attempt
// that cannot be sent either, so reportUnsent repeats until none is left.
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

// applyUpdate applies an update of the endpoint list, or tells the balancer that a call to discovery has failed.
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
	closeOnce(l.discoveryAnswered)
}

// applyList applies an endpoint list or changes to it, first to the connection pool and then to the balancer.
func (l *eventLoop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	if l.catalog != nil {
		l.catalog.Apply(list)
		l.listUpdates.Add(1)
	}
	l.pool.ApplyEndpoints(kind != balancer.IncrementalUpdate, list.Endpoints)
	l.balancer.UpdateEndpoints(l.clock.Now(), l, kind, l.zones.Endpoints(list.Endpoints))
	if kind == balancer.FullUpdate || len(list.Endpoints) > 0 {
		closeOnce(l.endpointListReady)
	}
}

// takeOverEndpoints applies the endpoint list of the process that this one takes over from, unless this process has one that
// is as recent.
func (l *eventLoop) takeOverEndpoints(list *discovery.List) {
	if isClosed(l.discoveryAnswered) || list.Index <= l.catalog.Index() {
		return
	}
	l.applyList(balancer.CachedUpdate, list)
	l.reportUnsent()
}

// closeOnce closes a channel unless it is closed already. Nothing is ever sent on the channel, and only one goroutine may
// call closeOnce for it.
func closeOnce(c chan struct{}) {
	if !isClosed(c) {
		close(c)
	}
}

// isClosed reports whether a channel on which nothing is ever sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// setDetached makes ids the complete set of detached backends. It attaches and detaches backends as needed, first in the
// connection pool and then in the balancer.
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

// applySettings puts a snapshot in force. If it returns an error, nothing has changed.
func (l *eventLoop) applySettings(next *config.Snapshot) error {
	if err := l.balancer.Reconfigure(next.Balancer); err != nil {
		return err
	}
	l.settings.Store(next)
	l.pool.SetTimeouts(next.Site.DialTimeout, next.Site.IdleClose)
	l.limits.set(next.Limits)
	l.departed.setMemoryLimit(next.Limits.MemoryMB)
	return nil
}
