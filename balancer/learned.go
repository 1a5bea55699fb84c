package balancer

import "math"

// LearnedState is what a copy has learned, for the one that takes its place.
type LearnedState struct {
	TierLimit       float64                    `json:"tier"`
	QuotaMultiplier float64                    `json:"share"`
	CrossZoneWeight float64                    `json:"spill"`
	ErrorRate       float64                    `json:"errs"`
	Classes         []LearnedClass             `json:"classes"`
	Endpoints       map[string]LearnedEndpoint `json:"servers"`
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name            string  `json:"name,omitempty"`
	Limit           float64 `json:"count"`
	MeanLatency     float64 `json:"mean"`
	UnloadedLatency float64 `json:"base"`
	Successes       float64 `json:"seen"`
	ErrorRate       float64 `json:"errs"`
}

// LearnedEndpoint is what was learned of a server's process.
type LearnedEndpoint struct {
	StartedAt       Microseconds `json:"launched"`
	RelativeLatency float64      `json:"slowness"`
	Health          float64      `json:"left"`
	ClassHealth     []float64    `json:"classes"`
}

// ExportState returns what this copy has learned so far.
func (b *Balancer) ExportState() LearnedState {
	l := LearnedState{TierLimit: b.tierLimit.max, QuotaMultiplier: b.quotaMultiplier, CrossZoneWeight: b.crossZoneWeight, ErrorRate: b.errorRate,
		Endpoints: make(map[string]LearnedEndpoint, len(b.all))}
	for i, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{b.settings.Classes[i].Name, c.limit.max, c.meanLatency, c.unloadedLatency, c.successes, c.errorRate})
	}
	for _, s := range b.all {
		k := LearnedEndpoint{StartedAt: s.StartedAt, RelativeLatency: s.relativeLatency, Health: s.overall.factor}
		for _, c := range b.classes {
			k.ClassHealth = append(k.ClassHealth, s.classHealth(c).factor)
		}
		l.Endpoints[s.ID] = k
	}
	return l
}

// ImportState lets a fresh copy begin where another stands; what makes no sense is left out. It takes no part in what that
// one still has out. Classes are known again by their names, since the other may have other settings.
func (b *Balancer) ImportState(l LearnedState) {
	set := func(to *float64, v, least, most float64) {
		if v >= least && v <= most { // never so for NaN
			*to = v
		}
	}
	set(&b.tierLimit.max, l.TierLimit, b.tierLimit.floor, initialLimit)
	set(&b.quotaMultiplier, l.QuotaMultiplier, minQuotaMultiplier, b.maxQuotaMultiplier)
	set(&b.crossZoneWeight, l.CrossZoneWeight, spillLow, 1)
	set(&b.errorRate, l.ErrorRate, 0, 1)
	var noted []string
	for _, k := range l.Classes {
		noted = append(noted, k.Name)
	}
	places := matchNames(noted, classNames(b.settings.Classes))
	for i, from := range places {
		if from < 0 {
			continue
		}
		c, k := b.classes[i], l.Classes[from]
		set(&c.limit.max, k.Limit, c.limit.floor, initialLimit)
		set(&c.meanLatency, k.MeanLatency, 1, math.MaxInt32)
		set(&c.unloadedLatency, k.UnloadedLatency, 1, c.meanLatency)
		set(&c.successes, k.Successes, 0, math.MaxInt32)
		set(&c.errorRate, k.ErrorRate, 0, 1)
	}
	for _, s := range b.all {
		k, ok := l.Endpoints[s.ID]
		if !ok || k.StartedAt != s.StartedAt || len(k.ClassHealth) != len(l.Classes) {
			continue
		}
		set(&s.relativeLatency, k.RelativeLatency, 1/slowMost, slowMost)
		set(&s.overall.factor, k.Health, minHealth, 1)
		for i, from := range places {
			if from >= 0 {
				set(&s.classHealth(b.classes[i]).factor, k.ClassHealth[from], minHealth, 1)
			}
		}
	}
}
