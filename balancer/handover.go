package balancer

import "math"

// LearnedState is the learned state of a Balancer, handed over to the process that replaces its own. It is
// stored as JSON with the keys that earlier versions used.
type LearnedState struct {
	TierLimit       float64                    `json:"tier"`  // maximum number of calls in flight
	QuotaMultiplier float64                    `json:"share"` // multiple of its quota that a tenant may send
	CrossZoneWeight float64                    `json:"spill"` // weight factor of endpoints in other zones
	ErrorRate       float64                    `json:"errs"`  // fraction of failed calls, from 0 to 1
	Classes         []LearnedClass             `json:"classes"`
	Endpoints       map[string]LearnedEndpoint `json:"servers"` // by ID
}

// LearnedClass is the learned state of a class.
type LearnedClass struct {
	Name            string  `json:"name,omitempty"`
	Limit           float64 `json:"count"` // maximum number of calls in flight
	MeanLatency     float64 `json:"mean"`  // microseconds
	UnloadedLatency float64 `json:"base"`  // microseconds
	Successes       float64 `json:"seen"`  // number of successful calls
	ErrorRate       float64 `json:"errs"`  // fraction of failed calls, from 0 to 1
}

// LearnedEndpoint is the learned state of an endpoint's process.
type LearnedEndpoint struct {
	StartedAt       Microseconds `json:"launched"` // identifies the process
	RelativeLatency float64      `json:"slowness"` // relative to the class's mean over all endpoints
	Health          float64      `json:"left"`     // multiplies its weight for all classes
	ClassHealth     []float64    `json:"classes"`  // health for a class, in the order of LearnedState.Classes
}

// ExportState returns the state that the Balancer has learned so far.
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
		exported := LearnedEndpoint{StartedAt: ep.StartedAt, RelativeLatency: ep.relativeLatency,
			Health: ep.overall.factor}
		for _, class := range b.classes {
			exported.ClassHealth = append(exported.ClassHealth, ep.classHealth(class).factor)
		}
		learned.Endpoints[ep.ID] = exported
	}
	return learned
}

// ImportState initializes a new Balancer with the state that another one has exported. It skips each value
// that is out of range, and endpoints that have restarted since. Classes are identified by their names, since
// the other Balancer may have different settings. The other Balancer's calls in flight are not counted.
func (b *Balancer) ImportState(learned LearnedState) {
	setIfInRange(&b.tierLimit.max, learned.TierLimit, b.tierLimit.floor, initialLimit)
	setIfInRange(&b.quotas.multiplier, learned.QuotaMultiplier, minQuotaMultiplier, b.quotas.maxMultiplier)
	setIfInRange(&b.zones.crossZoneWeight, learned.CrossZoneWeight, minCrossZoneWeight, 1)
	setIfInRange(&b.outliers.errorRate, learned.ErrorRate, 0, 1)
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
	setIfInRange(&c.limit.max, from.Limit, c.limit.floor, initialLimit)
	setIfInRange(&c.latency.mean, from.MeanLatency, 1, math.MaxInt32)
	setIfInRange(&c.latency.unloaded, from.UnloadedLatency, 1, c.latency.mean)
	setIfInRange(&c.latency.successes, from.Successes, 0, math.MaxInt32)
	setIfInRange(&c.errorRate, from.ErrorRate, 0, 1)
}

// importEndpoint imports the learned state of an endpoint. For each class of the settings, classIndexes holds
// its index in the imported state, or -1.
func (b *Balancer) importEndpoint(ep *endpoint, from *LearnedEndpoint, classIndexes []int) {
	setIfInRange(&ep.relativeLatency, from.RelativeLatency, 1/maxRelativeLatency, maxRelativeLatency)
	setIfInRange(&ep.overall.factor, from.Health, minHealth, 1)
	for i, index := range classIndexes {
		if index >= 0 {
			setIfInRange(&ep.classHealth(b.classes[i]).factor, from.ClassHealth[index], minHealth, 1)
		}
	}
}

// setIfInRange sets target to value if that is between lower and upper. Other values and NaN are ignored.
func setIfInRange(target *float64, value, lower, upper float64) {
	if value >= lower && value <= upper {
		*target = value
	}
}
