package latency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

const region = "region-1"

// chain is a sequence of tiers, each with a backend that calls the next tier. The load generator calls the
// first tier.
type chain struct {
	client   *traffic.Client    // calls the first tier
	clients  []*traffic.Client  // of all tiers, the last tier first
	backends []*traffic.Backend // of all tiers, the last tier first
	proxies  []*scale.Proxy     // of all tiers, the last tier first; none in a direct chain
	registry *registry.Service  // nil in a direct chain
}

// chainBuilder builds chains.
type chainBuilder struct {
	env      scale.Env
	depth    int
	listSize int   // number of endpoints on each list
	cores    []int // that the proxies may use
}

// buildDirect builds a chain without proxies.
func (b chainBuilder) buildDirect() (*chain, error) {
	c := &chain{}
	for range b.depth {
		backend, err := traffic.StartBackend(c.client, b.env.Log)
		if err != nil {
			c.close()
			return nil, err
		}
		c.backends = append(c.backends, backend)
		c.prepend(backend.Address)
	}
	return c, nil
}

// buildProxied builds a chain in which each tier is called through a proxy.
func (b chainBuilder) buildProxied(ctx context.Context) (*chain, error) {
	c := &chain{}
	var err error
	c.registry, err = registry.New(registry.Config{Random: rand.New(rand.NewPCG(b.env.Seed, 0)),
		Replicas: []registry.ReplicaConfig{{Name: "replica-1", Zone: scale.DefaultZones()[0], Region: region}}})
	if err != nil {
		return nil, err
	}
	for tier := b.depth - 1; tier >= 0; tier-- { // a tier's backend needs the address of the next tier's proxy
		if err := b.addTier(ctx, c, tier); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// addTier adds a tier with its proxy at the front of the chain.
func (b chainBuilder) addTier(ctx context.Context, c *chain, tier int) error {
	backend, err := traffic.StartBackend(c.client, b.env.Log)
	if err != nil {
		return err
	}
	c.backends = append(c.backends, backend)
	list, name := fmt.Sprintf("tier-%d", tier), fmt.Sprintf("proxy-%d", tier)
	zones := scale.DefaultZones()
	if _, err := c.registry.Publish(list, region, backend.Endpoints(b.listSize, zones)...); err != nil {
		return err
	}
	discovery, err := c.registry.Listen(list, registry.Location{Name: name, Zone: zones[0], Region: region})
	if err != nil {
		return err
	}
	settings := scale.DefaultSettings(scale.Pushed)
	settings.Tier = tier
	proxy, err := scale.StartProxy(ctx, b.env, scale.ProxyConfig{Name: name, Discovery: discovery,
		Seed: b.env.Seed + uint64(tier), Settings: settings, Cores: b.cores})
	if err != nil {
		return err
	}
	c.proxies = append(c.proxies, proxy)
	c.prepend(proxy.Address)
	return nil
}

// prepend makes the address that of the first tier, which the chain's client calls.
func (c *chain) prepend(address string) {
	c.client = traffic.NewClient(address)
	c.clients = append(c.clients, c.client)
}

// cpu returns the total CPU time that the proxies have used.
func (c *chain) cpu() (time.Duration, error) {
	total := time.Duration(0)
	for _, proxy := range c.proxies {
		usage, err := proxy.Usage()
		if err != nil {
			return 0, err
		}
		total += usage.CPU
	}
	return total, nil
}

func (c *chain) close() {
	for _, proxy := range c.proxies {
		proxy.Kill()
	}
	for _, client := range c.clients {
		client.Close()
	}
	for _, backend := range c.backends {
		backend.Close()
	}
	if c.registry != nil {
		c.registry.Close()
	}
}
