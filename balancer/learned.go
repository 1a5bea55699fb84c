package balancer

import "math"

// LearnedState is what a copy has learned, for the one that takes its place.
type LearnedState struct {
	Tier    float64                    `json:"tier"`
	Share   float64                    `json:"share"`
	Spill   float64                    `json:"spill"`
	Errs    float64                    `json:"errs"`
	Classes []LearnedClass             `json:"classes"`
	Servers map[string]LearnedEndpoint `json:"servers"`
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name  string  `json:"name,omitempty"`
	Count float64 `json:"count"`
	Mean  float64 `json:"mean"`
	Base  float64 `json:"base"`
	Seen  float64 `json:"seen"`
	Errs  float64 `json:"errs"`
}

// LearnedEndpoint is what was learned of a server's process.
type LearnedEndpoint struct {
	Launched Microseconds `json:"launched"`
	Slowness float64      `json:"slowness"`
	Left     float64      `json:"left"`
	Classes  []float64    `json:"classes"`
}

// ExportState returns what this copy has learned so far.
func (b *Balancer) ExportState() LearnedState {
	l := LearnedState{Tier: b.tier.count, Share: b.share, Spill: b.spill, Errs: b.errs,
		Servers: make(map[string]LearnedEndpoint, len(b.all))}
	for i, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{b.s.Classes[i].Name, c.rule.count, c.mean, c.base, c.seen, c.errs})
	}
	for _, s := range b.all {
		k := LearnedEndpoint{Launched: s.StartedAt, Slowness: s.slowness, Left: s.whole.left}
		for _, c := range b.classes {
			k.Classes = append(k.Classes, s.health(c).left)
		}
		l.Servers[s.ID] = k
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
	set(&b.tier.count, l.Tier, b.tier.least, startCount)
	set(&b.share, l.Share, shareLow, b.shareMost)
	set(&b.spill, l.Spill, spillLow, 1)
	set(&b.errs, l.Errs, 0, 1)
	var noted []string
	for _, k := range l.Classes {
		noted = append(noted, k.Name)
	}
	places := matchNames(noted, classNames(b.s.Classes))
	for i, from := range places {
		if from < 0 {
			continue
		}
		c, k := b.classes[i], l.Classes[from]
		set(&c.rule.count, k.Count, c.rule.least, startCount)
		set(&c.mean, k.Mean, 1, math.MaxInt32)
		set(&c.base, k.Base, 1, c.mean)
		set(&c.seen, k.Seen, 0, math.MaxInt32)
		set(&c.errs, k.Errs, 0, 1)
	}
	for _, s := range b.all {
		k, ok := l.Servers[s.ID]
		if !ok || k.Launched != s.StartedAt || len(k.Classes) != len(l.Classes) {
			continue
		}
		set(&s.slowness, k.Slowness, 1/slowMost, slowMost)
		set(&s.whole.left, k.Left, healthFloor, 1)
		for i, from := range places {
			if from >= 0 {
				set(&s.health(b.classes[i]).left, k.Classes[from], healthFloor, 1)
			}
		}
	}
}
