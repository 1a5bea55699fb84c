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
	work    = 20 * time.Millisecond // mean service time at a warm backend
	latency = 200 * time.Microsecond
	workers = 4
	queue   = 40 // 200 ms of work at a warm backend

	initialCapacity = 0.3
	warmUp          = 8 * time.Second
	overloadWindow  = time.Second

	list   = "service"
	region = "region"
)

// warmRate is the capacity of a warm backend, in calls a second.
var warmRate = workers / work.Seconds()

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

var classes = []balancer.Class{{
	LatencyObjective: 400_000,
	Deadline:         1_500_000,
	PriorityWeight:   1,
	LateFraction:     0.25,
	Idempotency:      balancer.Idempotent,
}}

// service is a service of backends, a discovery service, and the proxies that generate the calls.
type service struct {
	names    []string // of the backends, in rotating zones
	tier     *backend.Tier
	registry *registry.Service
	callers  []*hollow.Proxy
	results  results
}

// results counts the results of the proxies' calls.
type results struct{ served, others atomic.Int64 }

func (a *results) add(_ hollow.Call, result hollow.Result) {
	if result.Outcome == hollow.Served {
		a.served.Add(1)
	} else {
		a.others.Add(1)
	}
}

func newService(s size, c scenario, seed uint64) (*service, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	svc := &service{}
	for i := range s.backends {
		svc.names = append(svc.names, fmt.Sprintf("backend-%d", i))
	}
	var err error
	svc.tier, err = backend.New(backend.Config{
		Names:   svc.names,
		Classes: classes,
		Work:    work,
		Latency: latency,
		Workers: workers,
		Queue:   queue,
		ColdStart: backend.ColdStart{
			InitialCapacity: initialCapacity,
			WarmUp:          warmUp,
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
	if err := svc.addCallers(s, c, seeds); err != nil {
		svc.registry.Close()
		return nil, err
	}
	return svc, nil
}

// addCallers publishes the backends and creates the proxies.
func (svc *service) addCallers(s size, c scenario, seeds *rand.Rand) error {
	if err := svc.publish(svc.names, discovery.Serving, time.Time{}); err != nil {
		return err
	}
	for i := range c.callers {
		name, zone := fmt.Sprintf("proxy-%d", i), i%len(zones)
		location := registry.Location{Name: name, Zone: zones[zone], Region: region}
		p, err := hollow.New(hollow.Config{
			Name:     name,
			Zones:    zones,
			Seed:     seeds.Uint64(),
			Upstream: svc.tier,
			Settings: c.settings(i, zone),
			Discovery: discovery.Options{
				Address: "discovery:80",
				Dial:    svc.registry.Dialer(list, location),
			},
			CallRate: c.load * warmRate * float64(s.backends) / float64(c.callers),
			OnResult: svc.results.add,
		})
		if err != nil {
			return err
		}
		svc.callers = append(svc.callers, p)
	}
	return nil
}

// settings returns the settings of a proxy.
func (c scenario) settings(replicaIndex, zone int) balancer.Settings {
	return balancer.Settings{
		Tier:              1,
		Replicas:          c.callers,
		ReplicaIndex:      replicaIndex,
		Zone:              zone,
		Zones:             len(zones),
		Classes:           classes,
		MaxAttempts:       4,
		MaxRetryAfter:     2_000_000,
		DrainGrace:        300_000,
		SlowStartCapacity: initialCapacity,
		SlowStartOverload: c.overloadFactor,
		SlowStartDuration: microtime.FromDuration(warmUp),
	}
}

// publish publishes the status of backends. The time of their start may be zero.
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
	_, err := svc.registry.Publish(list, region, changes...)
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

// namesInFirstZone returns the backends of the first zone.
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
	for _, p := range svc.callers {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}

// crash crashes backends and removes them from the list.
func (svc *service) crash(names []string) error {
	for _, name := range names {
		if err := svc.tier.Crash(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Deleted, time.Time{})
}

// restart starts backends and puts them back on the list.
func (svc *service) restart(names []string) error {
	for _, name := range names {
		if err := svc.tier.Start(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Serving, time.Now())
}
