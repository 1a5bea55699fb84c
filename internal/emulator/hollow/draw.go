package hollow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"baylock/balancer"
)

// The streams of random numbers that a Proxy draws from its seed, beside the module's own.
const (
	clientStream uint64 = iota + 1
	drawStream
)

const drawnKeys = 1000 // keys that drawn calls are spread over

// drawer draws calls by a Poisson process: classes evenly, tenants by their portions.
type drawer struct {
	name     string
	settings balancer.Settings
	rate     float64 // calls a second
	random   *rand.Rand
	drawn    uint64
	portions float64 // of all tenants
}

func newDrawer(cfg Config) *drawer {
	d := &drawer{name: cfg.Name, settings: cfg.Settings, rate: cfg.CallsPerSecond,
		random: rand.New(rand.NewPCG(cfg.Seed, drawStream))}
	for _, t := range cfg.Settings.Tenants {
		d.portions += t.QuotaFraction
	}
	return d
}

// wait draws the time until the next call.
func (d *drawer) wait() time.Duration {
	return time.Duration(d.random.ExpFloat64() / d.rate * float64(time.Second))
}

// call draws the next call.
func (d *drawer) call() Call {
	d.drawn++
	c := Call{ID: d.name + "-" + strconv.FormatUint(d.drawn, 10), Class: d.random.IntN(len(d.settings.Classes)),
		Tenant: d.tenant()}
	if class := d.settings.Classes[c.Class]; class.Idempotency == balancer.IdempotentWithKey || class.OrderedByKey {
		c.Key = "key-" + strconv.Itoa(d.random.IntN(drawnKeys))
	}
	return c
}

func (d *drawer) tenant() int {
	x := d.random.Float64() * d.portions
	for i, t := range d.settings.Tenants {
		if x -= t.QuotaFraction; x < 0 {
			return i
		}
	}
	return max(0, len(d.settings.Tenants)-1)
}
