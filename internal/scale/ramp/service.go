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
	work    = 20 * time.Millisecond // mean of a call's work at a warm backend
	latency = 200 * time.Microsecond
	workers = 4
	queue   = 40 // 200 ms of work at a warm backend

	startCapacity = 0.3
	coldSpan      = 8 * time.Second
	fallAfter     = time.Second

	list   = "service"
	region = "region"
)

// warmRate is the calls a second that a warm backend does.
var warmRate = workers / work.Seconds()

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

var classes = []balancer.Class{{LatencyObjective: 400_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.25, Idempotency: balancer.Idempotent}}

// service is backends, discovery, and the proxies whose calls they get.
type service struct {
	names    []string // of the backends; their zones take turns
	tier     *backend.Tier
	registry *registry.Service
	callers  []*hollow.Proxy
	answers  answers
}

// answers counts the answers that callers got.
type answers struct{ served, others atomic.Int64 }

func (a *answers) add(_ hollow.Call, result hollow.Result) {
	if result.Outcome == hollow.Served {
		a.served.Add(1)
	} else {
		a.others.Add(1)
	}
}

func newService(s size, c circumstances, seed uint64) (*service, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	svc := &service{}
	for i := range s.backends {
		svc.names = append(svc.names, fmt.Sprintf("backend-%d", i))
	}
	var err error
	svc.tier, err = backend.New(backend.Config{Names: svc.names, Classes: classes, Work: work, Latency: latency,
		Workers: workers, Queue: queue, Seed: seeds.Uint64(),
		ColdStart: backend.ColdStart{InitialCapacity: startCapacity, WarmUp: coldSpan, OverloadFactor: c.tipMultiple, OverloadWindow: fallAfter}})
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

// addCallers lists the backends and makes the proxies that call them.
func (svc *service) addCallers(s size, c circumstances, seeds *rand.Rand) error {
	if err := svc.publish(svc.names, discovery.Serving, time.Time{}); err != nil {
		return err
	}
	for i := range c.callers {
		name, zone := fmt.Sprintf("proxy-%d", i), i%len(zones)
		p, err := hollow.New(hollow.Config{Name: name, Zones: zones, Seed: seeds.Uint64(), Upstream: svc.tier,
			Settings: balancer.Settings{Tier: 1, Replicas: c.callers, ReplicaIndex: i, Zone: zone, Zones: len(zones), Classes: classes,
				MaxAttempts: 4, MaxRetryAfter: 2_000_000, DrainGrace: 300_000,
				SlowStartCapacity: startCapacity, SlowStartOverload: c.tipMultiple, SlowStartDuration: microtime.FromDuration(coldSpan)},
			Discovery: discovery.Options{Address: "discovery:80",
				Dial: svc.registry.Dialer(list, registry.Location{Name: name, Zone: zones[zone], Region: region})},
			CallRate: c.load * warmRate * float64(s.backends) / float64(c.callers),
			OnResult: svc.answers.add})
		if err != nil {
			return err
		}
		svc.callers = append(svc.callers, p)
	}
	return nil
}

// publish has discovery tell a status of backends, which started at a time that may be zero.
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

// inFirstZone returns the backends of the first zone.
func (svc *service) inFirstZone() (names []string) {
	for _, name := range svc.names {
		if svc.zoneOf(name) == zones[0] {
			names = append(names, name)
		}
	}
	return names
}

// run runs the callers until the context ends, and then ends discovery.
func (svc *service) run(ctx context.Context) {
	defer svc.registry.Close()
	var running sync.WaitGroup
	for _, p := range svc.callers {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}

// takeDown ends backends, and discovery drops them from the list.
func (svc *service) takeDown(names []string) error {
	for _, name := range names {
		if err := svc.tier.Crash(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Deleted, time.Time{})
}

// bringBack starts backends, and discovery lists them again.
func (svc *service) bringBack(names []string) error {
	for _, name := range names {
		if err := svc.tier.Start(name); err != nil {
			return err
		}
	}
	return svc.publish(names, discovery.Serving, time.Now())
}
