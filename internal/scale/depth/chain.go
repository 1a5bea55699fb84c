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
	meanServiceTime = 2 * time.Millisecond   // of a backend, without the time of the next tier
	networkLatency  = 200 * time.Microsecond // mean, one way
	workers         = 32                     // concurrent attempts at a backend, waits for the next tier included
	queueSize       = 32                     // capacity of a backend's queue, in attempts
)

var zones = []string{"zone-a", "zone-b"}

// The indexes of the classes of calls.
const (
	idempotentClass = iota
	keyedClass
	nonIdempotentClass
)

var classNames = []string{idempotentClass: "safe", keyedClass: "keyed", nonIdempotentClass: "unsafe"}

var classes = []balancer.Class{
	idempotentClass:    newClass(balancer.Idempotent, 0),
	keyedClass:         newClass(balancer.IdempotentWithKey, 2_000_000),
	nonIdempotentClass: newClass(balancer.NotIdempotent, 0),
}

// newClass returns a class of calls. All durations are in microseconds.
func newClass(idempotency balancer.Idempotency, dedupWindow balancer.Microseconds) balancer.Class {
	return balancer.Class{
		LatencyObjective: 300_000,
		Deadline:         1_000_000,
		PriorityWeight:   1,
		LateFraction:     0.25,
		Idempotency:      idempotency,
		DedupWindow:      dedupWindow,
	}
}

// settings returns the settings of a proxy, with durations in microseconds. They set no retry budget, so that the
// balancer's default applies.
func settings(tier, replicas, replicaIndex int) balancer.Settings {
	return balancer.Settings{
		Tier:              tier,
		Replicas:          replicas,
		ReplicaIndex:      replicaIndex,
		Zone:              replicaIndex % len(zones),
		Zones:             len(zones),
		Classes:           classes,
		MaxAttempts:       4,
		MaxRetryAfter:     2_000_000,
		DrainGrace:        300_000,
		SlowStartCapacity: 0.3,
		SlowStartOverload: 3,
		SlowStartDuration: 8_000_000,
	}
}

// chain is a sequence of tiers of backends. The front proxies send calls to the first tier. Each backend, except
// those of the last tier, has its own proxy, which sends calls to the next tier.
type chain struct {
	tiers        []*backend.Tier
	frontProxies []*hollow.Proxy
	proxies      []*hollow.Proxy // all proxies, including the front proxies
}

func newChain(s size, seed uint64) (*chain, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	c := &chain{}
	for number := 1; number <= s.tiers; number++ {
		tier, err := backend.New(backend.Config{
			Names:   backendNames(number, s.backends),
			Classes: classes,
			Work:    meanServiceTime,
			Latency: networkLatency,
			Workers: workers,
			Queue:   queueSize,
			Seed:    seeds.Uint64(),
		})
		if err != nil {
			return nil, err
		}
		c.tiers = append(c.tiers, tier)
	}
	for index, tier := range c.tiers {
		senders := s.frontProxies
		if index > 0 {
			senders = s.backends
		}
		proxies, err := newProxies(index, senders, s.backends, tier, seeds)
		if err != nil {
			return nil, err
		}
		c.proxies = append(c.proxies, proxies...)
		if index == 0 {
			c.frontProxies = proxies
			continue
		}
		// The backends of the previous tier, whose number is index, each send their calls through one of these proxies.
		for i, name := range backendNames(index, s.backends) {
			if err := c.tiers[index-1].Connect(name, proxies[i]); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// newProxies returns the proxies that send attempts to the tier with the given index, which starts at 0. They know the
// tier's backends from the start.
func newProxies(index, senders, backends int, tier *backend.Tier, seeds *rand.Rand) ([]*hollow.Proxy, error) {
	known := tierList(index+1, backends)
	var proxies []*hollow.Proxy
	for i := range senders {
		p, err := hollow.New(hollow.Config{
			Name:     fmt.Sprintf("proxy-%d-%d", index, i),
			Settings: settings(index, senders, i),
			Zones:    zones,
			Seed:     seeds.Uint64(),
			Known:    known,
			Upstream: tier,
		})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// backendNames returns the names of the backends of the tier with the given number, which starts at 1.
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

// deepestTier returns the last tier.
func (c *chain) deepestTier() *backend.Tier { return c.tiers[len(c.tiers)-1] }

// run runs all proxies until the context ends, and returns once all of them have stopped.
func (c *chain) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range c.proxies {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}
