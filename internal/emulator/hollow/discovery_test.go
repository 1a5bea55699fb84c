package hollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
)

const watchedList = "service"

// discoveryTest is a proxy with an emulated discovery service of one replica.
type discoveryTest struct {
	*testing.T
	service *registry.Service
	proxy   *Proxy

	mu      sync.Mutex
	calls   map[string]int // attempts, by endpoint
	applied chan time.Time // when the balancer applied an update
}

// runDiscoveryTest runs a test in a synctest bubble, with a list that is pushed and with one that is polled.
func runDiscoveryTest(t *testing.T, known *discovery.List, test func(*discoveryTest)) {
	t.Helper()
	for _, mode := range []struct {
		name string
		poll bool
	}{{"pushed", false}, {"polled", true}} {
		t.Run(mode.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newDiscoveryTest(t, mode.poll, known).run(test) })
		})
	}
}

func newDiscoveryTest(t *testing.T, poll bool, known *discovery.List) *discoveryTest {
	t.Helper()
	service, err := registry.New(registry.Config{Poll: poll, Random: rand.New(rand.NewPCG(1, 1)),
		Replicas: []registry.ReplicaConfig{{Name: "r", Zone: "z", Region: "region", RequestRate: 100}}})
	if err != nil {
		t.Fatal(err)
	}
	d := &discoveryTest{T: t, service: service, calls: map[string]int{}, applied: make(chan time.Time, 100)}
	settings := testSettings()
	settings.SubscribeRequired, settings.MaxPollInterval = poll, 10_000_000
	d.proxy, err = New(Config{Name: "p", Settings: settings, Zones: []string{"z"}, Seed: 1, Known: known, Upstream: d,
		OnListApplied: func(_ *discovery.List, at time.Time) { d.applied <- at },
		Discovery: discovery.Options{Address: "discovery:1",
			Dial: service.Dialer(watchedList, registry.Location{Name: "p", Zone: "z", Region: "region"})}})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// run runs the proxy during the test.
func (d *discoveryTest) run(test func(*discoveryTest)) {
	d.Helper()
	defer d.service.Close()
	ctx, cancel := context.WithCancel(d.Context())
	var run sync.WaitGroup
	run.Go(func() { d.proxy.Run(ctx) })
	defer run.Wait()
	defer cancel()
	test(d)
}

// Attempt implements Upstream.
func (d *discoveryTest) Attempt(_ context.Context, endpoint string, _ Call) balancer.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[endpoint]++
	return balancer.OK
}

func (d *discoveryTest) publish(changes ...discovery.Endpoint) {
	d.Helper()
	if _, err := d.service.Publish(watchedList, "region", changes...); err != nil {
		d.Fatal(err)
	}
}

func backend(name string, status discovery.Status) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "z", Status: status}
}

// expectCalls makes ten calls, and checks how many of them each endpoint gets.
func (d *discoveryTest) expectCalls(want map[string]int) {
	d.Helper()
	clear(d.calls)
	for i := range 10 {
		if got := d.proxy.Call(d.Context(), Call{ID: string(rune('0' + i))}); got.Outcome != Served && len(want) > 0 {
			d.Errorf("call %d: %+v", i, got)
		}
	}
	for name, calls := range d.calls {
		if calls != want[name] {
			d.Errorf("endpoint %s got %d calls, want %d", name, calls, want[name])
		}
	}
}

func TestListUpdateMovesCalls(t *testing.T) {
	runDiscoveryTest(t, nil, func(d *discoveryTest) {
		d.expectCalls(nil)
		d.publish(backend("a", discovery.Serving))
		time.Sleep(time.Second)
		d.expectCalls(map[string]int{"a": 10})
		d.publish(backend("a", discovery.Draining), backend("b", discovery.Serving))
		accepted := time.Now()
		for len(d.applied) > 0 {
			<-d.applied
		}
		if took := (<-d.applied).Sub(accepted); took > 20*time.Millisecond {
			d.Errorf("the update was applied after %v", took)
		}
		d.expectCalls(map[string]int{"b": 10})
	})
}

func TestKnownListServesUntilDiscoveryResponds(t *testing.T) {
	known := &discovery.List{Index: 1, Snapshot: true, Endpoints: []discovery.Endpoint{backend("old", discovery.Serving)}}
	runDiscoveryTest(t, known, func(d *discoveryTest) {
		d.service.RejectRequests(1)
		d.publish(backend("new", discovery.Serving))
		time.Sleep(10 * time.Second)
		d.expectCalls(map[string]int{"old": 10})
		d.service.RejectRequests(0)
		recovered := time.Now()
		if took := (<-d.applied).Sub(recovered); took > 2500*time.Millisecond {
			d.Errorf("the update was applied %v after the recovery", took)
		}
		d.expectCalls(map[string]int{"new": 10})
	})
}

func TestSilentWatchIsReplaced(t *testing.T) {
	runDiscoveryTest(t, nil, func(d *discoveryTest) {
		d.publish(backend("a", discovery.Serving))
		time.Sleep(time.Second)
		d.service.SilenceWatches()
		d.publish(backend("a", discovery.Deleted), backend("b", discovery.Serving))
		time.Sleep(3100 * time.Millisecond) // a watch of 2.5 s, its time-out of 0.5 s and, where the list is polled, the next call
		d.expectCalls(map[string]int{"b": 10})
	})
}
