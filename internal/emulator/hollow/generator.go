package hollow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"baylock/balancer"
)

// The streams of random numbers that a Proxy draws from its seed, besides the balancer's.
const (
	clientStream uint64 = iota + 1
	generatorStream
)

// generatedKeys is the number of different keys of generated calls.
const generatedKeys = 1000

// generator generates calls by a Poisson process: classes evenly, tenants by their shares.
type generator struct {
	name       string
	settings   balancer.Settings
	rate       float64 // calls a second
	random     *rand.Rand
	count      uint64  // of calls so far
	totalShare float64 // of all tenants
}

func newGenerator(cfg Config) *generator {
	g := &generator{
		name:     cfg.Name,
		settings: cfg.Settings,
		rate:     cfg.CallRate,
		random:   rand.New(rand.NewPCG(cfg.Seed, generatorStream)),
	}
	for _, tenant := range cfg.Settings.Tenants {
		g.totalShare += tenant.QuotaFraction
	}
	return g
}

// nextInterval draws the time until the next call.
func (g *generator) nextInterval() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
}

// nextCall draws the next call. It has no deadline.
func (g *generator) nextCall() Call {
	g.count++
	call := Call{ID: g.name + "-" + strconv.FormatUint(g.count, 10)}
	call.Class = g.random.IntN(len(g.settings.Classes))
	call.Tenant = g.nextTenant()
	class := g.settings.Classes[call.Class]
	if class.Idempotency == balancer.IdempotentWithKey || class.OrderedByKey {
		call.Key = "key-" + strconv.Itoa(g.random.IntN(generatedKeys))
	}
	return call
}

func (g *generator) nextTenant() int {
	x := g.random.Float64() * g.totalShare
	for i, tenant := range g.settings.Tenants {
		if x -= tenant.QuotaFraction; x < 0 {
			return i
		}
	}
	return max(0, len(g.settings.Tenants)-1)
}
