package depth

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/emulator/backend"
	"baylock/internal/emulator/hollow"
)

const (
	work    = 2 * time.Millisecond // mean of one backend's own part of a call
	latency = 200 * time.Microsecond
	workers = 32 // calls that a backend has at once, those that wait for the next tier included
	queue   = 32
)

var zones = []string{"zone-a", "zone-b"}

// The classes of calls.
const (
	safeClass = iota
	keyedClass
	unsafeClass
)

var classNames = []string{safeClass: "safe", keyedClass: "keyed", unsafeClass: "unsafe"}

var classes = []balancer.Class{
	safeClass:   {LatencyObjective: 300_000, Deadline: 1_000_000, PriorityWeight: 1, LateFraction: 0.25, Idempotency: balancer.Idempotent},
	keyedClass:  {LatencyObjective: 300_000, Deadline: 1_000_000, PriorityWeight: 1, LateFraction: 0.25, Idempotency: balancer.IdempotentWithKey, DedupWindow: 2_000_000},
	unsafeClass: {LatencyObjective: 300_000, Deadline: 1_000_000, PriorityWeight: 1, LateFraction: 0.25, Idempotency: balancer.NotIdempotent},
}

// settings are those of a proxy that sends to the tier after stage. No retry budget is stated, so that the module keeps
// its own.
func settings(stage, siblings, ordinal int) balancer.Settings {
	return balancer.Settings{Tier: stage, Replicas: siblings, ReplicaIndex: ordinal, Zone: ordinal % len(zones), Zones: len(zones),
		Classes: classes, MaxAttempts: 4, MaxRetryAfter: 2_000_000, DrainGrace: 300_000,
		SlowStartCapacity: 0.3, SlowStartOverload: 3, SlowStartDuration: 8_000_000}
}

// chain is tiers of backends, one behind the other, with proxies in front of the first and one at each backend but the
// last tier's.
type chain struct {
	tiers   []*backend.Tier
	fronts  []*hollow.Proxy
	proxies []*hollow.Proxy // all of them
}

func newChain(s size, seed uint64) (*chain, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	c := &chain{}
	for number := 1; number <= s.tiers; number++ {
		tier, err := backend.New(backend.Config{Names: backendNames(number, s.backends), Classes: classes, Work: work,
			Latency: latency, Workers: workers, Queue: queue, Seed: seeds.Uint64()})
		if err != nil {
			return nil, err
		}
		c.tiers = append(c.tiers, tier)
	}
	for stage, tier := range c.tiers {
		senders := s.fronts
		if stage > 0 {
			senders = s.backends
		}
		proxies, err := newProxies(stage, senders, s.backends, tier, seeds)
		if err != nil {
			return nil, err
		}
		c.proxies = append(c.proxies, proxies...)
		if stage == 0 {
			c.fronts = proxies
			continue
		}
		for i, name := range backendNames(stage, s.backends) {
			if err := c.tiers[stage-1].Connect(name, proxies[i]); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// newProxies returns the proxies that send to a tier. They know its backends from the start.
func newProxies(stage, senders, backends int, tier *backend.Tier, seeds *rand.Rand) ([]*hollow.Proxy, error) {
	known := tierList(stage+1, backends)
	var proxies []*hollow.Proxy
	for i := range senders {
		p, err := hollow.New(hollow.Config{Name: fmt.Sprintf("proxy-%d-%d", stage, i), Settings: settings(stage, senders, i),
			Zones: zones, Seed: seeds.Uint64(), Known: known, Upstream: tier})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// backendNames are the backends of a tier, counted from 1.
func backendNames(tier, backends int) []string {
	var names []string
	for i := range backends {
		names = append(names, fmt.Sprintf("tier%d-%d", tier, i))
	}
	return names
}

func tierList(tier, backends int) *discovery.List {
	list := &discovery.List{Index: 1, Snapshot: true}
	for i, name := range backendNames(tier, backends) {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: name, Address: name + ":80",
			Zone: zones[i%len(zones)], Cell: i, Status: discovery.Serving})
	}
	return list
}

// deepest is the last tier.
func (c *chain) deepest() *backend.Tier { return c.tiers[len(c.tiers)-1] }

// run runs all proxies until the context ends, and returns when they have.
func (c *chain) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range c.proxies {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}
