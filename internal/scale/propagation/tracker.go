package propagation

import (
	"context"
	"sync"
	"time"

	"baylock/internal/discovery"
)

// endpointState is what a change sets of an endpoint.
type endpointState struct {
	status  discovery.Status
	sinceMs int64
}

// stateOf gives the state of an entry; an endpoint that is not listed is Deleted.
func stateOf(e discovery.Endpoint) endpointState {
	if e.Status == discovery.Deleted || e.Name == "" {
		return endpointState{status: discovery.Deleted}
	}
	return endpointState{status: e.Status, sinceMs: e.SinceMs}
}

// change is an accepted change of one endpoint on its way to the proxies.
type change struct {
	list, endpoint string
	revision       int // its place among the changes of the endpoint
	region         string
	at             time.Time

	waiting     int           // proxies that do not have it yet
	last        time.Duration // until the last proxy had it so far
	uncorrected time.Duration // the same, counted from the acceptance also for proxies cut off
	atStarted   time.Duration // the same for the proxies whose starts are timed; 0: none
}

// outOfReach tells whether a proxy can't have a change during an outage.
type outOfReach func(*watcher, *change) bool

// tracker follows changes until they are in force at all proxies that watch their list. It knows a change by what it
// sets of its endpoint, since versions of the list differ from replica to replica. A proxy that has a later state of the
// endpoint has the change too.
type tracker struct {
	mu        sync.Mutex
	watchers  map[string][]*watcher // that have started, by list
	revisions map[string][]endpointState
	open      int
	accepted  int
	timed     bool // starts are timed
	apart     outOfReach
	returned  time.Time // end of the outage; zero before
	progress  chan struct{}
	times     times
}

// times are what a tracker measures.
type times struct {
	inForce, uncorrected, atStarted, startToList *latencies
}

func newTracker() *tracker {
	return &tracker{watchers: map[string][]*watcher{}, revisions: map[string][]endpointState{},
		progress: make(chan struct{}, 1),
		times: times{inForce: newLatencies(), uncorrected: newLatencies(), atStarted: newLatencies(),
			startToList: newLatencies()}}
}

// preset notes the state that an endpoint begins with.
func (t *tracker) preset(e discovery.Endpoint) {
	t.revisions[e.Name] = []endpointState{stateOf(e)}
}

// join counts a proxy that starts among those that have to have the changes from now on. One that starts anew has to
// have what it has missed, too.
func (t *tracker) join(w *watcher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.startedAt, w.awaitsList, w.timed = time.Now(), w.entries == nil, t.timed
	if !w.joined {
		w.joined = true
		t.watchers[w.list] = append(t.watchers[w.list], w)
	}
}

// publish has a change accepted and follows it. The proxies' news wait meanwhile.
func (t *tracker) publish(list, region string, e discovery.Endpoint, accept func() (time.Time, error)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, err := accept()
	if err != nil {
		return err
	}
	t.revisions[e.Name] = append(t.revisions[e.Name], stateOf(e))
	c := &change{list: list, endpoint: e.Name, revision: len(t.revisions[e.Name]) - 1, region: region, at: at,
		waiting: len(t.watchers[list])}
	for _, w := range t.watchers[list] {
		w.pending = append(w.pending, c)
	}
	t.accepted++
	t.open++
	return nil
}

// applied takes the news that a proxy's module has taken in what discovery told.
func (t *tracker) applied(w *watcher, list *discovery.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.take(list)
	if w.awaitsList {
		w.awaitsList = false
		if w.timed {
			t.times.startToList.add(at.Sub(w.startedAt))
		}
	}
	left := w.pending[:0]
	for _, c := range w.pending {
		if t.has(w, c) {
			t.reached(w, c, at)
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

// has tells whether a proxy has a change or a later one of the same endpoint.
func (t *tracker) has(w *watcher, c *change) bool {
	state := stateOf(w.entries[c.endpoint])
	for _, later := range t.revisions[c.endpoint][c.revision:] {
		if state == later {
			return true
		}
	}
	return false
}

// reached counts a change as in force at one more proxy.
func (t *tracker) reached(w *watcher, c *change, at time.Time) {
	from := t.countedFrom(w, c, at)
	c.last, c.uncorrected = max(c.last, at.Sub(from)), max(c.uncorrected, at.Sub(c.at))
	if w.timed {
		c.atStarted = max(c.atStarted, at.Sub(from))
	}
	if c.waiting--; c.waiting > 0 {
		return
	}
	t.open--
	t.times.inForce.add(c.last)
	t.times.uncorrected.add(c.uncorrected)
	if c.atStarted > 0 {
		t.times.atStarted.add(c.atStarted)
	}
}

// countedFrom is when a change could first reach a proxy: its acceptance, or the proxy's return to where it could.
func (t *tracker) countedFrom(w *watcher, c *change, at time.Time) time.Time {
	from := c.at
	if w.startedAt.After(from) {
		from = w.startedAt
	}
	if t.returned.After(from) && !at.Before(t.returned) && t.apart(w, c) {
		from = t.returned
	}
	return from
}

// timeStarts has the starts from now on timed.
func (t *tracker) timeStarts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timed = true
}

// beginOutage says which proxies can't have which changes until endOutage.
func (t *tracker) beginOutage(apart outOfReach) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apart = apart
}

func (t *tracker) endOutage(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returned = at
}

// allInForce tells whether no change is on its way.
func (t *tracker) allInForce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0
}

// allListed tells whether each proxy that runs has a whole list of so many endpoints.
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

// await returns true once something is so, which only the proxies' news can bring about, or false if it takes longer
// than the limit or the context ends first.
func (t *tracker) await(ctx context.Context, limit time.Duration, isSo func() bool) bool {
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
