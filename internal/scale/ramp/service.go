package ramp

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/emulator/backend"
	"baylock/internal/emulator/hollow"
	"baylock/internal/emulator/registry"
	"baylock/internal/microtime"
)

const (
	meanServiceTime = 20 * time.Millisecond  // mean, at a warm backend
	networkLatency  = 200 * time.Microsecond // mean, one way, between proxy and backend
	workers         = 4                      // concurrent attempts at a backend
	queueSize       = 40                     // capacity of a backend's queue, in attempts; takes a warm backend 200 ms to serve

	initialCapacity = 0.3             // of a cold backend, as a fraction of its warm capacity
	backendWarmUp   = 8 * time.Second // until a cold backend is warm
	overloadWindow  = time.Second     // within which the load of a cold backend is counted

	listName = "service"
	region   = "region"
)

// warmRate is the capacity of a warm backend in calls per second.
var warmRate = workers / meanServiceTime.Seconds()

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

var classes = []balancer.Class{{
	LatencyObjective: 400_000, // microseconds, as all durations of classes and settings
	Deadline:         1_500_000,
	PriorityWeight:   1,
	LateFraction:     0.25,
	Idempotency:      balancer.Idempotent,
}}

// service holds the emulated backends, the discovery service and the hollow proxies that generate the calls.
type service struct {
	names    []string // of the backends; their zones rotate in this order
	tier     *backend.Tier
	registry *registry.Service
	proxies  []*hollow.Proxy
	results  results
}

// results counts the calls of all proxies by result.
type results struct{ served, notServed atomic.Int64 }

func (r *results) add(_ hollow.Call, result hollow.Result) {
	if result.Outcome == hollow.Served {
		r.served.Add(1)
	} else {
		r.notServed.Add(1)
	}
}

func newService(p plan, c scenario, seed uint64) (*service, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	svc := &service{}
	for i := range p.backends {
		svc.names = append(svc.names, fmt.Sprintf("backend-%d", i))
	}
	var err error
	svc.tier, err = backend.New(backend.Config{
		Names:   svc.names,
		Classes: classes,
		Work:    meanServiceTime,
		Latency: networkLatency,
		Workers: workers,
		Queue:   queueSize,
		ColdStart: backend.ColdStart{
			InitialCapacity: initialCapacity,
			WarmUp:          backendWarmUp,
			OverloadFactor:  c.overloadFactor,
			OverloadWindow:  overloadWindow,
		},
		Seed: seeds.Uint64(),
	})
	if err != nil {
		return nil, err
	}
	svc.registry, err = registry.New(registry.Config{Random: rand.New(rand.NewPCG(seeds.Uint64(), 0)),
		Replicas: []registry.ReplicaConfig{{Name: "replica", Zone: zones[0], Region: region}}})
	if err != nil {
		return nil, err
	}
	if err := svc.addProxies(p, c, seeds); err != nil {
		svc.registry.Close()
		return nil, err
	}
	return svc, nil
}

// addProxies publishes the backends and creates the proxies.
func (svc *service) addProxies(p plan, c scenario, seeds *rand.Rand) error {
	if err := svc.publish(svc.names, discovery.Serving, time.Time{}); err != nil {
		return err
	}
	for i := range c.proxies {
		name, zone := fmt.Sprintf("proxy-%d", i), i%len(zones)
		location := registry.Location{Name: name, Zone: zones[zone], Region: region}
		proxy, err := hollow.New(hollow.Config{
			Name:     name,
			Zones:    zones,
			Seed:     seeds.Uint64(),
			Upstream: svc.tier,
			Settings: c.settings(i, zone),
			Discovery: discovery.Options{
				Address: "discovery:80",
				Dial:    svc.registry.Dialer(listName, location),
			},
			CallRate: c.load * warmRate * float64(p.backends) / float64(c.proxies),
			OnResult: svc.results.add,
		})
		if err != nil {
			return err
		}
		svc.proxies = append(svc.proxies, proxy)
	}
	return nil
}

// settings returns the settings of one proxy.
func (c scenario) settings(replicaIndex, zone int) balancer.Settings {
	return balancer.Settings{
		Tier:              1,
		Replicas:          c.proxies,
		ReplicaIndex:      replicaIndex,
		Zone:              zone,
		Zones:             len(zones),
		Classes:           classes,
		MaxAttempts:       4,
		MaxRetryAfter:     2_000_000,
		DrainGrace:        300_000,
		SlowStartCapacity: initialCapacity,
		SlowStartOverload: c.overloadFactor,
		SlowStartDuration: microtime.FromDuration(backendWarmUp),
	}
}

// publish publishes the status of backends to the endpoint list. If started is zero, they count as started
// long ago.
func (svc *service) publish(names []string, status discovery.Status, started time.Time) error {
	since := int64(0)
	if !started.IsZero() {
		since = started.UnixMilli()
	}
	var changes []discovery.Endpoint
	for _, name := range names {
		changes = append(changes, discovery.Endpoint{Name: name, Address: name + ":80", Zone: svc.zoneOf(name),
			Status: status, SinceMs: since})
	}
	_, err := svc.registry.Publish(listName, region, changes...)
	return err
}

func (svc *service) zoneOf(name string) string {
	for i, n := range svc.names {
		if n == name {
			return zones[i%len(zones)]
		}
	}
	return ""
}

// namesInFirstZone returns the names of the backends in the first zone.
func (svc *service) namesInFirstZone() (names []string) {
	for _, name := range svc.names {
		if svc.zoneOf(name) == zones[0] {
			names = append(names, name)
		}
	}
	return names
}

// run runs the proxies until the context ends, and then closes the discovery service.
func (svc *service) run(ctx context.Context) {
	defer svc.registry.Close()
	var running sync.WaitGroup
	for _, p := range svc.proxies {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}

// crash crashes backends and removes them from the endpoint list.
func (svc *service) crash(names []string) error {
	for _, name := range names {
		if err := svc.tier.Crash(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Deleted, time.Time{})
}

// restart starts crashed backends, which are then cold, and puts them back on the endpoint list.
func (svc *service) restart(names []string) error {
	for _, name := range names {
		if err := svc.tier.Start(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Serving, time.Now())
}
