package propagation

import (
	"context"
	"sync"
	"time"

	"baylock/internal/discovery"
)

// endpointState is the part of an endpoint's state that changes modify.
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

// change is an accepted change of one endpoint, tracked until it is in force.
type change struct {
	list, endpoint string
	revision       int // index of the new state in the tracker's revisions of the endpoint
	region         string
	at             time.Time

	missing           int           // number of proxies that have not applied it
	maxLatency        time.Duration // highest of any proxy so far, from when the change could reach the proxy
	maxTotalLatency   time.Duration // highest of any proxy so far, from the acceptance
	maxStartedLatency time.Duration // maxLatency of the proxies whose starts are timed; 0 if there are none
}

// unreachableFunc reports whether a change can't reach a proxy during an outage.
type unreachableFunc func(*watcher, *change) bool

// tracker tracks changes until they are in force at all proxies that watch their list. Because versions of a list differ
// between replicas, it recognizes a change by the state of the endpoint. A proxy that has a later state of the endpoint
// also has the change.
type tracker struct {
	mu          sync.Mutex
	watchers    map[string][]*watcher      // proxies that have started at least once, by list
	revisions   map[string][]endpointState // all states of each endpoint so far, by name
	pending     int                        // number of changes that are not in force yet
	accepted    int                        // number of accepted changes
	startTimed  bool                       // proxies that start now have their start timed
	unreachable unreachableFunc            // for the scenario's outage; nil before it
	recoveredAt time.Time                  // end of the outage; zero before that
	progress    chan struct{}              // receives an element after each update that a proxy has applied; buffers one
	times       trackedLatencies
}

// trackedLatencies are the latencies that a tracker measures.
type trackedLatencies struct {
	inForce, fromAcceptance, atStartedProxies, startToList *latencyHistogram
}

func newTracker() *tracker {
	return &tracker{watchers: map[string][]*watcher{}, revisions: map[string][]endpointState{},
		progress: make(chan struct{}, 1),
		times: trackedLatencies{inForce: newLatencyHistogram(), fromAcceptance: newLatencyHistogram(),
			atStartedProxies: newLatencyHistogram(), startToList: newLatencyHistogram()}}
}

// setInitial sets the initial state of an endpoint.
func (t *tracker) setInitial(e discovery.Endpoint) {
	t.revisions[e.Name] = []endpointState{stateOf(e)}
}

// addWatcher registers a proxy that starts: from now on, changes count as in force only once it has applied them. A
// restarted proxy must also apply the changes that it has missed.
func (t *tracker) addWatcher(w *watcher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.startedAt, w.awaitsList, w.startTimed = time.Now(), w.entries == nil, t.startTimed
	if !w.registered {
		w.registered = true
		t.watchers[w.list] = append(t.watchers[w.list], w)
	}
}

// publish publishes a change and tracks it. It holds the lock, so that no update is handled between the two steps.
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
		if w.startTimed {
			t.times.startToList.add(at.Sub(w.startedAt))
		}
	}
	remaining := w.pending[:0]
	for _, c := range w.pending {
		if t.hasChange(w, c) {
			t.markInForce(w, c, at)
		} else {
			remaining = append(remaining, c)
		}
	}
	clear(w.pending[len(remaining):])
	w.pending = remaining
	select {
	case t.progress <- struct{}{}:
	default:
	}
}

// hasChange reports whether a proxy has a change, or a later one of the same endpoint.
func (t *tracker) hasChange(w *watcher, c *change) bool {
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
	if w.startTimed {
		c.maxStartedLatency = max(c.maxStartedLatency, at.Sub(from))
	}
	if c.missing--; c.missing > 0 {
		return
	}
	t.pending--
	t.times.inForce.add(c.maxLatency)
	t.times.fromAcceptance.add(c.maxTotalLatency)
	if c.maxStartedLatency > 0 {
		t.times.atStartedProxies.add(c.maxStartedLatency)
	}
}

// reachableFrom returns when a change could first reach a proxy: at its acceptance, at the proxy's start, or at the end
// of the outage.
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

// timeStarts makes the tracker time all starts of proxies from now on.
func (t *tracker) timeStarts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTimed = true
}

// beginOutage begins an outage, during which the given function selects the changes that can't reach a proxy.
func (t *tracker) beginOutage(isUnreachable unreachableFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = isUnreachable
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

// allListsComplete reports whether the list of each started proxy has at least the given number of endpoints.
func (t *tracker) allListsComplete(sizeOf func(list string) int) bool {
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

// wait waits until a condition holds, and checks it after each update that a proxy applies. It returns false if the
// limit passes or the context ends first.
func (t *tracker) wait(ctx context.Context, limit time.Duration, condition func() bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for !condition() {
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
