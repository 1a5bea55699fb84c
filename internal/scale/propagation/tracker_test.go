package propagation

import (
	"math/rand/v2"
	"testing"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
)

const testList = "service-00"

// trackerTest is a tracker under test. Its methods publish changes and apply updates at times relative to start.
type trackerTest struct {
	*testing.T
	tracker *tracker
	start   time.Time
}

func newTrackerTest(t *testing.T, backends ...string) *trackerTest {
	t.Helper()
	tt := &trackerTest{T: t, tracker: newTracker(), start: time.Now()}
	for _, name := range backends {
		tt.tracker.setInitial(serving(name, 0))
	}
	return tt
}

func serving(name string, since int64) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: "127.0.0.1:1", Status: discovery.Serving, SinceMs: since}
}

func withStatus(e discovery.Endpoint, status discovery.Status) discovery.Endpoint {
	e.Status = status
	return e
}

func (tt *trackerTest) watcher(zone, region string) *watcher {
	tt.Helper()
	w := &watcher{list: testList, location: registry.Location{Zone: zone, Region: region}}
	tt.tracker.addWatcher(w)
	w.startedAt = tt.start
	return w
}

func (tt *trackerTest) publish(after time.Duration, region string, e discovery.Endpoint) {
	tt.Helper()
	accept := func() (time.Time, error) { return tt.start.Add(after), nil }
	if err := tt.tracker.publish(testList, region, e, accept); err != nil {
		tt.Fatal(err)
	}
}

func (tt *trackerTest) apply(w *watcher, after time.Duration, snapshot bool, entries ...discovery.Endpoint) {
	tt.Helper()
	list := &discovery.List{Snapshot: snapshot, Endpoints: entries}
	tt.tracker.applied(w, list, tt.start.Add(after))
}

// want checks the number of pending changes, and the worst time in seconds of the changes that are in force.
func (tt *trackerTest) want(pending int, worst float64) {
	tt.Helper()
	if got := tt.tracker.pending; got != pending {
		tt.Errorf("%d changes are pending, want %d", got, pending)
	}
	if got := tt.tracker.times.inForce.quantile(1); got < 0.999*worst || got > 1.001*worst {
		tt.Errorf("worst time %v s, want %v", got, worst)
	}
}

func TestTrackerChangeIsInForceAtLastProxy(t *testing.T) {
	tt := newTrackerTest(t, "a")
	one, other := tt.watcher("zone-1", east), tt.watcher("zone-2", east)
	for _, w := range []*watcher{one, other} {
		tt.apply(w, 0, true, serving("a", 0))
	}
	drained := withStatus(serving("a", 0), discovery.Draining)
	tt.publish(time.Second, east, drained)
	tt.apply(one, 1100*time.Millisecond, false, drained)
	tt.apply(other, 1200*time.Millisecond, false) // no change
	tt.want(1, 0)
	tt.apply(other, 1500*time.Millisecond, false, drained)
	tt.want(0, 0.5)
}

func TestTrackerLaterStateIncludesEarlierChanges(t *testing.T) {
	tt := newTrackerTest(t, "a")
	w := tt.watcher("zone-1", east)
	tt.apply(w, 0, true, serving("a", 0))
	drained := withStatus(serving("a", 0), discovery.Draining)
	tt.publish(time.Second, east, drained)
	tt.publish(2*time.Second, east, withStatus(drained, discovery.Deleted))
	tt.publish(3*time.Second, east, serving("a", 3000))
	tt.apply(w, 4*time.Second, true) // the endpoint is not on the list
	tt.want(1, 3)
	tt.apply(w, 5*time.Second, false, serving("a", 3000))
	tt.want(0, 3)
}

func TestTrackerOutageCountsFromRecovery(t *testing.T) {
	tt := newTrackerTest(t, "a", "b")
	near, far := tt.watcher("zone-1", east), tt.watcher("zone-4", west)
	for _, w := range []*watcher{near, far} {
		tt.apply(w, 0, true, serving("a", 0), serving("b", 0))
	}
	tt.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Region != c.region })
	changed := serving("a", 1000)
	tt.publish(time.Second, east, changed)
	tt.apply(near, 1200*time.Millisecond, false, changed)
	tt.tracker.endOutage(tt.start.Add(60 * time.Second))
	tt.apply(far, 60100*time.Millisecond, false, changed)
	tt.want(0, 0.2)
	if got := tt.tracker.times.fromAcceptance.quantile(1); got < 59 {
		t.Errorf("the time since the acceptance is %v s, want at least 59 s", got)
	}
	again := serving("b", 61000)
	tt.publish(61*time.Second, east, again) // accepted after the outage, so the outage has no effect
	tt.apply(near, 61100*time.Millisecond, false, again)
	tt.apply(far, 62*time.Second, false, again)
	tt.want(0, 1)
}

func TestTrackerRestartedProxyCountsFromStart(t *testing.T) {
	tt := newTrackerTest(t, "a")
	w := tt.watcher("zone-1", east)
	tt.apply(w, 0, true, serving("a", 0))
	changed := serving("a", 1000)
	tt.publish(time.Second, east, changed)
	tt.tracker.timeStarts()
	tt.tracker.addWatcher(w)
	w.startedAt = tt.start.Add(3 * time.Second)
	tt.apply(w, 3100*time.Millisecond, true, changed)
	tt.want(0, 0.1)
	if n := tt.tracker.times.startToList.count(); n != 0 {
		t.Errorf("%d starts of proxies that had a list were timed", n)
	}
	if n := tt.tracker.times.atStartedProxies.count(); n != 1 {
		t.Errorf("%d changes were timed at started proxies, want 1", n)
	}
}

func TestTrackerStartWithoutListIsTimed(t *testing.T) {
	tt := newTrackerTest(t, "a")
	tt.tracker.timeStarts()
	w := tt.watcher("zone-1", east)
	tt.apply(w, 300*time.Millisecond, true, serving("a", 0))
	if got := tt.tracker.times.startToList; got.count() != 1 || got.quantile(1) < 0.29 || got.quantile(1) > 0.31 {
		t.Errorf("%d starts were timed, the worst took %v s", got.count(), got.quantile(1))
	}
}

func TestChangeGeneratorChangesEveryBackendInTurn(t *testing.T) {
	c := newChangeGenerator(rand.New(rand.NewPCG(1, 1)))
	const backends = 30
	for i := range backends {
		c.add(testList, serving(string(rune('A'+i)), 0))
	}
	last := map[string]discovery.Endpoint{}
	kinds := map[discovery.Status]int{}
	for round := range 4 {
		seen := map[string]bool{}
		for i := range backends {
			now := time.UnixMilli(int64(1 + round*backends + i))
			_, e := c.nextChange(now)
			if seen[e.Name] {
				t.Fatalf("round %d changed %s twice", round, e.Name)
			}
			if before, known := last[e.Name]; known && stateOf(before) == stateOf(e) {
				t.Errorf("%+v did not change", e)
			}
			seen[e.Name], last[e.Name] = true, e
			kinds[e.Status]++
		}
	}
	for _, status := range []discovery.Status{discovery.Serving, discovery.Draining, discovery.Deleted} {
		if kinds[status] == 0 {
			t.Errorf("no backend became %s", status)
		}
	}
}
