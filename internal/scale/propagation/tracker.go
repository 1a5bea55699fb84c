package propagation

import (
	"context"
	"sync"
	"time"

	"baylock/internal/discovery"
)

// endpointState is the state of an endpoint, as far as changes set it.
type endpointState struct {
	status  discovery.Status
	sinceMs int64
}

// stateOf returns the state of a list entry; an endpoint that is not listed is Deleted.
func stateOf(e discovery.Endpoint) endpointState {
	if e.Status == discovery.Deleted || e.Name == "" {
		return endpointState{status: discovery.Deleted}
	}
	return endpointState{status: e.Status, sinceMs: e.SinceMs}
}

// change is an accepted change of one endpoint that is tracked.
type change struct {
	list, endpoint string
	revision       int // index among the states of the endpoint
	region         string
	at             time.Time

	missing           int           // number of proxies without it
	maxLatency        time.Duration // until it was in force at the last proxy so far, from when it could reach that proxy
	maxTotalLatency   time.Duration // the same from the acceptance
	maxStartedLatency time.Duration // maxLatency of the proxies whose starts are timed; 0: none
}

// outOfReach reports whether a change can't reach a proxy during an outage.
type outOfReach func(*watcher, *change) bool

// tracker tracks changes until they are in force at all proxies that watch their list. As versions of the list differ
// between replicas, it recognizes a change by the state of its endpoint. A proxy with a later state of the endpoint has
// the change, too.
type tracker struct {
	mu          sync.Mutex
	watchers    map[string][]*watcher // that have started, by list
	revisions   map[string][]endpointState
	pending     int
	accepted    int
	timed       bool // starts are timed from now on
	unreachable outOfReach
	recoveredAt time.Time // end of the outage; zero before
	progress    chan struct{}
	times       latencyTimes
}

// latencyTimes are the latencies that a tracker measures.
type latencyTimes struct {
	inForce, uncorrected, atStarted, startToList *latencies
}

func newTracker() *tracker {
	return &tracker{watchers: map[string][]*watcher{}, revisions: map[string][]endpointState{},
		progress: make(chan struct{}, 1),
		times: latencyTimes{inForce: newLatencies(), uncorrected: newLatencies(), atStarted: newLatencies(),
			startToList: newLatencies()}}
}

// setInitial sets the initial state of an endpoint.
func (t *tracker) setInitial(e discovery.Endpoint) {
	t.revisions[e.Name] = []endpointState{stateOf(e)}
}

// addWatcher adds a proxy that starts to those that have to get the changes. A restarted proxy also has to get those
// that it has missed.
func (t *tracker) addWatcher(w *watcher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.startedAt, w.awaitsList, w.timed = time.Now(), w.entries == nil, t.timed
	if !w.joined {
		w.joined = true
		t.watchers[w.list] = append(t.watchers[w.list], w)
	}
}

// publish publishes a change and tracks it. The lock keeps updates of the proxies out until both are done.
func (t *tracker) publish(list, region string, e discovery.Endpoint, accept func() (time.Time, error)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, err := accept()
	if err != nil {
		return err
	}
	t.revisions[e.Name] = append(t.revisions[e.Name], stateOf(e))
	c := &change{list: list, endpoint: e.Name, revision: len(t.revisions[e.Name]) - 1, region: region, at: at,
		missing: len(t.watchers[list])}
	for _, w := range t.watchers[list] {
		w.pending = append(w.pending, c)
	}
	t.accepted++
	t.pending++
	return nil
}

// applied handles an update that a proxy's balancer has applied.
func (t *tracker) applied(w *watcher, list *discovery.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.apply(list)
	if w.awaitsList {
		w.awaitsList = false
		if w.timed {
			t.times.startToList.add(at.Sub(w.startedAt))
		}
	}
	left := w.pending[:0]
	for _, c := range w.pending {
		if t.has(w, c) {
			t.markInForce(w, c, at)
		} else {
			left = append(left, c)
		}
	}
	clear(w.pending[len(left):])
	w.pending = left
	select {
	case t.progress <- struct{}{}:
	default:
	}
}

// has reports whether a proxy has a change, or a later one of the same endpoint.
func (t *tracker) has(w *watcher, c *change) bool {
	state := stateOf(w.entries[c.endpoint])
	for _, later := range t.revisions[c.endpoint][c.revision:] {
		if state == later {
			return true
		}
	}
	return false
}

// markInForce marks a change as in force at one more proxy.
func (t *tracker) markInForce(w *watcher, c *change, at time.Time) {
	from := t.reachableFrom(w, c, at)
	c.maxLatency, c.maxTotalLatency = max(c.maxLatency, at.Sub(from)), max(c.maxTotalLatency, at.Sub(c.at))
	if w.timed {
		c.maxStartedLatency = max(c.maxStartedLatency, at.Sub(from))
	}
	if c.missing--; c.missing > 0 {
		return
	}
	t.pending--
	t.times.inForce.add(c.maxLatency)
	t.times.uncorrected.add(c.maxTotalLatency)
	if c.maxStartedLatency > 0 {
		t.times.atStarted.add(c.maxStartedLatency)
	}
}

// reachableFrom returns when a change could first reach a proxy: at its acceptance, or at the end of the proxy's
// outage.
func (t *tracker) reachableFrom(w *watcher, c *change, at time.Time) time.Time {
	from := c.at
	if w.startedAt.After(from) {
		from = w.startedAt
	}
	if t.recoveredAt.After(from) && !at.Before(t.recoveredAt) && t.unreachable(w, c) {
		from = t.recoveredAt
	}
	return from
}

// timeStarts makes the tracker time all starts from now on.
func (t *tracker) timeStarts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timed = true
}

// beginOutage sets which changes can't reach which proxies until endOutage.
func (t *tracker) beginOutage(apart outOfReach) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = apart
}

func (t *tracker) endOutage(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = at
}

// allInForce reports whether all changes are in force.
func (t *tracker) allInForce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending == 0
}

// allListed reports whether each running proxy has a complete list, of the given size.
func (t *tracker) allListed(sizeOf func(list string) int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for list, watchers := range t.watchers {
		for _, w := range watchers {
			if len(w.entries) < sizeOf(list) {
				return false
			}
		}
	}
	return true
}

// wait waits until a condition holds that the proxies' updates bring about. It returns false if that takes longer
// than the limit or the context ends first.
func (t *tracker) wait(ctx context.Context, limit time.Duration, isSo func() bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for !isSo() {
		select {
		case <-t.progress:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}
