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
	startLimit = 30 * time.Second       // until all of the first proxies have their lists
	startPause = 100 * time.Millisecond // then, so that the last of these responses are not measured
)

var errNotStarted = errors.New("the first proxies did not get their lists in time")

// fleetConfig configures a fleet.
type fleetConfig struct {
	job
	size    size
	network network
}

// fleet is a discovery service and the proxies that watch its lists.
type fleet struct {
	fleetConfig
	service  *registry.Service
	tracker  *tracker
	changes  *changeGenerator
	random   *rand.Rand // of the scenario's draws
	watchers []*watcher
	backends map[string]int // number on each list at the start
	load     loadMeter
	real     *realProxies
}

// The streams of random numbers that a fleet draws from its seed.
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
		service:     service,
		tracker:     newTracker(),
		changes:     newChangeGenerator(stream(changeStream)),
		random:      stream(scenarioStream),
		backends:    map[string]int{},
		real:        real,
	}
	if err := f.fill(ctx, stream(watcherStream)); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// fill publishes the backends and creates the proxies, each with a backend on its machine.
func (f *fleet) fill(ctx context.Context, seeds *rand.Rand) error {
	published := map[string]map[string][]discovery.Endpoint{} // by list and region
	for i := range f.size.proxies {
		z := zones()[i%len(zones())]
		service := i % f.size.services
		own, calls := listName(service), listName((service+1)%f.size.services)
		e := discovery.Endpoint{Name: fmt.Sprintf("backend-%03d", i), Zone: z.name, Cell: i % len(zones()),
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), Status: discovery.Serving}
		if published[own] == nil {
			published[own] = map[string][]discovery.Endpoint{}
		}
		published[own][z.region] = append(published[own][z.region], e)
		f.backends[own]++
		f.changes.add(own, e)
		f.tracker.setInitial(e)
		w := &watcher{zone: i % len(zones()), replicaIndex: i / f.size.services, list: calls, seed: seeds.Uint64(),
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
			if _, err := f.service.Publish(listName(service), region, endpoints...); err != nil {
				return err
			}
		}
	}
	return timing.Wait(ctx, 2*replicationDelay) // so that the first proxies get complete lists
}

func listName(service int) string { return fmt.Sprintf("service-%02d", service) }

// connect opens a proxy's address of the discovery service.
func (f *fleet) connect(w *watcher) error {
	address, dial, err := f.network(f.service, w.list, w.location)
	if err != nil {
		return err
	}
	w.address, w.dial = address, countBytes(dial, &w.traffic)
	return nil
}

// start starts a proxy.
func (f *fleet) start(ctx context.Context, w *watcher) error {
	f.tracker.addWatcher(w)
	return w.run(ctx, f.poll, func(list *discovery.List, at time.Time) { f.tracker.applied(w, list, at) })
}

// startUp starts the first proxies, and returns once all have their lists.
func (f *fleet) startUp(ctx context.Context) error {
	type start struct {
		after time.Duration
		w     *watcher
	}
	var starts []start
	for _, w := range f.watchers {
		if w.location.Zone != f.scenario.zoneHeldBack {
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
	listed := func() bool { return f.tracker.allListed(func(list string) int { return f.backends[list] }) }
	if !f.tracker.wait(ctx, startLimit, listed) {
		return cmp.Or(ctx.Err(), errNotStarted)
	}
	return timing.Wait(ctx, startPause)
}

// waitUntilInForce waits until all changes are in force, at most for the size's settle time.
func (f *fleet) waitUntilInForce(ctx context.Context) {
	f.tracker.wait(ctx, f.size.settle, func() bool { return f.tracker.allInForce() && f.real.allSeen() })
}

// close stops the proxies and the service. The context of all that they run has ended.
func (f *fleet) close() {
	for _, w := range f.watchers {
		w.stop()
	}
	f.real.stop()
	f.service.Close()
}
