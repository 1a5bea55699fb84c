package propagation

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
	"baylock/internal/timing"
)

const (
	startTimeout = 30 * time.Second       // for the initial proxies to receive their complete lists
	startPause   = 100 * time.Millisecond // pause after these responses, so that the last of them are not measured
)

var errNotStarted = errors.New("the initial proxies did not receive their complete endpoint lists in time")

// fleetConfig configures a fleet.
type fleetConfig struct {
	job
	size    size
	network network
}

// fleet is an emulated discovery service and the proxies that watch its lists.
type fleet struct {
	fleetConfig
	registry *registry.Service
	tracker  *tracker
	changes  *changeGenerator
	random   *rand.Rand // for the scenario's random choices
	watchers []*watcher
	backends map[string]int // initial number of backends on each list
	load     loadMeter
	real     *realProxies
}

// The independent streams of random numbers that a fleet derives from its seed.
const (
	serviceStream uint64 = iota + 1
	changeStream
	scenarioStream
	watcherStream
)

func newFleet(ctx context.Context, config fleetConfig) (*fleet, error) {
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(config.seed, n)) }
	real := newRealProxies()
	service, err := registry.New(registry.Config{
		Replicas:         replicas(config.size.replicaCallRate),
		Poll:             config.poll,
		ReplicationDelay: replicationDelay,
		Random:           stream(serviceStream),
		OnRequest:        real.observe,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{
		fleetConfig: config,
		registry:    service,
		tracker:     newTracker(),
		changes:     newChangeGenerator(stream(changeStream)),
		random:      stream(scenarioStream),
		backends:    map[string]int{},
		real:        real,
	}
	if err := f.populate(ctx, stream(watcherStream)); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// populate publishes the initial backends and creates the proxies. There is one proxy on the machine of each
// backend; it watches the endpoint list of the service that follows the backend's own.
func (f *fleet) populate(ctx context.Context, seeds *rand.Rand) error {
	published := map[string]map[string][]discovery.Endpoint{} // by list and region
	for i := range f.size.proxies {
		z := zones()[i%len(zones())]
		service := i % f.size.services
		own, watched := listName(service), listName((service+1)%f.size.services)
		e := discovery.Endpoint{Name: fmt.Sprintf("backend-%03d", i), Zone: z.name, Cell: i % len(zones()),
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), Status: discovery.Serving}
		if published[own] == nil {
			published[own] = map[string][]discovery.Endpoint{}
		}
		published[own][z.region] = append(published[own][z.region], e)
		f.backends[own]++
		f.changes.add(own, e)
		f.tracker.setInitial(e)
		w := &watcher{zone: i % len(zones()), replicaIndex: i / f.size.services, list: watched, seed: seeds.Uint64(),
			location: registry.Location{Name: fmt.Sprintf("proxy-%03d", i), Zone: z.name, Region: z.region}}
		if err := f.connect(w); err != nil {
			return err
		}
		f.watchers = append(f.watchers, w)
	}
	for service := range f.size.services {
		for _, region := range []string{east, west} {
			endpoints := published[listName(service)][region]
			if len(endpoints) == 0 {
				continue
			}
			if _, err := f.registry.Publish(listName(service), region, endpoints...); err != nil {
				return err
			}
		}
	}
	return timing.Wait(ctx, 2*replicationDelay) // so that all replicas have the complete lists
}

func listName(service int) string { return fmt.Sprintf("service-%02d", service) }

// connect sets the address of the discovery service for a proxy, and its dialer, which counts the proxy's bytes.
func (f *fleet) connect(w *watcher) error {
	address, dial, err := f.network(f.registry, w.list, w.location)
	if err != nil {
		return err
	}
	w.address, w.dial = address, countBytes(dial, &w.traffic)
	return nil
}

// start starts a proxy and tracks the updates that its balancer applies.
func (f *fleet) start(ctx context.Context, w *watcher) error {
	f.tracker.addWatcher(w)
	return w.startProxy(ctx, f.poll, func(list *discovery.List, at time.Time) { f.tracker.applied(w, list, at) })
}

// startInitialProxies starts all proxies, except those of the scenario's late zone, at random times within
// startSpread. It returns once their lists are complete.
func (f *fleet) startInitialProxies(ctx context.Context) error {
	type start struct {
		after time.Duration
		w     *watcher
	}
	var starts []start
	for _, w := range f.watchers {
		if w.location.Zone != f.scenario.lateZone {
			starts = append(starts, start{time.Duration(f.random.Int64N(int64(f.size.startSpread))), w})
		}
	}
	slices.SortFunc(starts, func(a, b start) int { return cmp.Compare(a.after, b.after) })
	began := time.Now()
	for _, s := range starts {
		if err := timing.Wait(ctx, time.Until(began.Add(s.after))); err != nil {
			return err
		}
		if err := f.start(ctx, s.w); err != nil {
			return err
		}
	}
	ready := func() bool { return f.tracker.allListsComplete(func(list string) int { return f.backends[list] }) }
	if !f.tracker.wait(ctx, startTimeout, ready) {
		return cmp.Or(ctx.Err(), errNotStarted)
	}
	return timing.Wait(ctx, startPause)
}

// waitUntilInForce waits until all changes are in force at all proxies, for at most the settle time.
func (f *fleet) waitUntilInForce(ctx context.Context) {
	f.tracker.wait(ctx, f.size.settle, func() bool { return f.tracker.allInForce() && f.real.allSeen() })
}

// close stops the proxies and the discovery service. The caller must already have cancelled the context in which they
// run.
func (f *fleet) close() {
	for _, w := range f.watchers {
		w.stop()
	}
	f.real.stop()
	f.registry.Close()
}
