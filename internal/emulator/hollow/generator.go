package hollow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"baylock/balancer"
)

// The stream numbers of the random number generators that a Proxy seeds with its Seed, in
// addition to the balancer's generator.
const (
	clientStream uint64 = iota + 1
	generatorStream
)

// generatedKeys is the number of distinct keys of generated calls.
const generatedKeys = 1000

// generator generates calls as a Poisson process. All classes are equally likely; the
// probability of a tenant is proportional to its QuotaFraction.
type generator struct {
	name               string
	settings           balancer.Settings
	rate               float64 // calls per second
	random             *rand.Rand
	count              uint64  // calls generated so far
	totalQuotaFraction float64 // sum of the QuotaFraction of all tenants
}

func newGenerator(cfg Config) *generator {
	g := &generator{
		name:     cfg.Name,
		settings: cfg.Settings,
		rate:     cfg.CallRate,
		random:   rand.New(rand.NewPCG(cfg.Seed, generatorStream)),
	}
	for _, tenant := range cfg.Settings.Tenants {
		g.totalQuotaFraction += tenant.QuotaFraction
	}
	return g
}

// nextInterval returns the random time from one call to the next.
func (g *generator) nextInterval() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
}

// nextCall returns a new random call. It has no deadline, so the deadline of its class
// applies.
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

// nextTenant returns the index of a random tenant, weighted by QuotaFraction; 0 if there
// are no tenants.
func (g *generator) nextTenant() int {
	x := g.random.Float64() * g.totalQuotaFraction
	for i, tenant := range g.settings.Tenants {
		if x -= tenant.QuotaFraction; x < 0 {
			return i
		}
	}
	return max(0, len(g.settings.Tenants)-1)
}
