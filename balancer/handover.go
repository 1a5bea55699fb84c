package balancer

import "math"

// LearnedState is what a Balancer has learned, for the one of the process that takes its place. It is stored
// as JSON, whose keys are those of earlier versions.
type LearnedState struct {
	TierLimit       float64                    `json:"tier"`  // calls in flight
	QuotaMultiplier float64                    `json:"share"` // multiple of its quota that a tenant may pass
	CrossZoneWeight float64                    `json:"spill"` // of endpoints in other zones
	ErrorRate       float64                    `json:"errs"`  // from 0 to 1
	Classes         []LearnedClass             `json:"classes"`
	Endpoints       map[string]LearnedEndpoint `json:"servers"` // by ID
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name            string  `json:"name,omitempty"`
	Limit           float64 `json:"count"` // calls in flight
	MeanLatency     float64 `json:"mean"`  // microseconds
	UnloadedLatency float64 `json:"base"`  // microseconds
	Successes       float64 `json:"seen"`
	ErrorRate       float64 `json:"errs"` // from 0 to 1
}

// LearnedEndpoint is what was learned of an endpoint's process.
type LearnedEndpoint struct {
	StartedAt       Microseconds `json:"launched"` // identifies the process
	RelativeLatency float64      `json:"slowness"` // to the mean of all endpoints
	Health          float64      `json:"left"`     // factor of its weight, for all classes
	ClassHealth     []float64    `json:"classes"`  // the same for each class, in the order of LearnedState.Classes
}

// ExportState returns what was learned so far.
func (b *Balancer) ExportState() LearnedState {
	learned := LearnedState{TierLimit: b.tierLimit.max, QuotaMultiplier: b.quotas.multiplier,
		CrossZoneWeight: b.zones.crossZoneWeight, ErrorRate: b.outliers.errorRate,
		Endpoints: make(map[string]LearnedEndpoint, len(b.endpoints.all))}
	for i, class := range b.classes {
		learned.Classes = append(learned.Classes, LearnedClass{
			Name:            b.settings.Classes[i].Name,
			Limit:           class.limit.max,
			MeanLatency:     class.latency.mean,
			UnloadedLatency: class.latency.unloaded,
			Successes:       class.latency.successes,
			ErrorRate:       class.errorRate,
		})
	}
	for _, ep := range b.endpoints.all {
		from := LearnedEndpoint{StartedAt: ep.StartedAt, RelativeLatency: ep.relativeLatency, Health: ep.overall.factor}
		for _, class := range b.classes {
			from.ClassHealth = append(from.ClassHealth, ep.classHealth(class).factor)
		}
		learned.Endpoints[ep.ID] = from
	}
	return learned
}

// ImportState has a new Balancer begin where another stands. Values out of range are left out one by one, and
// so are endpoints that have restarted since. Classes are identified by their names, since the other Balancer
// may have other settings. What the other one has in flight is not counted here.
func (b *Balancer) ImportState(learned LearnedState) {
	setInRange(&b.tierLimit.max, learned.TierLimit, b.tierLimit.floor, initialLimit)
	setInRange(&b.quotas.multiplier, learned.QuotaMultiplier, minQuotaMultiplier, b.quotas.maxMultiplier)
	setInRange(&b.zones.crossZoneWeight, learned.CrossZoneWeight, minCrossZoneWeight, 1)
	setInRange(&b.outliers.errorRate, learned.ErrorRate, 0, 1)
	var names []string
	for _, class := range learned.Classes {
		names = append(names, class.Name)
	}
	indexes := matchNames(names, classNames(b.settings.Classes))
	for i, from := range indexes {
		if from >= 0 {
			b.classes[i].importLearned(&learned.Classes[from])
		}
	}
	for _, ep := range b.endpoints.all {
		from, ok := learned.Endpoints[ep.ID]
		if ok && from.StartedAt == ep.StartedAt && len(from.ClassHealth) == len(learned.Classes) {
			b.importEndpoint(ep, &from, indexes)
		}
	}
}

func (c *classState) importLearned(from *LearnedClass) {
	setInRange(&c.limit.max, from.Limit, c.limit.floor, initialLimit)
	setInRange(&c.latency.mean, from.MeanLatency, 1, math.MaxInt32)
	setInRange(&c.latency.unloaded, from.UnloadedLatency, 1, c.latency.mean)
	setInRange(&c.latency.successes, from.Successes, 0, math.MaxInt32)
	setInRange(&c.errorRate, from.ErrorRate, 0, 1)
}

// importEndpoint takes what was learned of an endpoint; classIndexes are the classes' indexes in it, or -1.
func (b *Balancer) importEndpoint(ep *endpoint, from *LearnedEndpoint, classIndexes []int) {
	setInRange(&ep.relativeLatency, from.RelativeLatency, 1/maxRelativeLatency, maxRelativeLatency)
	setInRange(&ep.overall.factor, from.Health, minHealth, 1)
	for i, index := range classIndexes {
		if index >= 0 {
			setInRange(&ep.classHealth(b.classes[i]).factor, from.ClassHealth[index], minHealth, 1)
		}
	}
}

// setInRange sets a figure to a value from least to most, and leaves it alone for others and NaN.
func setInRange(figure *float64, value, least, most float64) {
	if value >= least && value <= most {
		*figure = value
	}
}
