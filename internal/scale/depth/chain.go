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
	work    = 2 * time.Millisecond // mean service time of one backend, without the next tier's
	latency = 200 * time.Microsecond
	workers = 32 // calls served at once, those included that wait for the next tier
	queue   = 32
)

var zones = []string{"zone-a", "zone-b"}

// The classes of calls.
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

// settings returns the settings of a proxy. No retry budget is stated, so the balancer's own applies.
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

// chain is a sequence of tiers of backends, with proxies in front of the first tier and one at each backend, except
// those of the last tier.
type chain struct {
	tiers        []*backend.Tier
	frontProxies []*hollow.Proxy
	proxies      []*hollow.Proxy // all of them, the front ones included
}

func newChain(s size, seed uint64) (*chain, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	c := &chain{}
	for number := 1; number <= s.tiers; number++ {
		tier, err := backend.New(backend.Config{
			Names:   backendNames(number, s.backends),
			Classes: classes,
			Work:    work,
			Latency: latency,
			Workers: workers,
			Queue:   queue,
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
		for i, name := range backendNames(index, s.backends) {
			if err := c.tiers[index-1].Connect(name, proxies[i]); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// newProxies returns the proxies that send to a tier, and know its backends from the start.
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

// backendNames returns the names of the backends of a tier; tiers count from 1.
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

// deepest returns the last tier.
func (c *chain) deepest() *backend.Tier { return c.tiers[len(c.tiers)-1] }

// run runs all proxies until the context ends, and returns when they have ended.
func (c *chain) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range c.proxies {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}
