package balancer

const (
	lateFraction          = 0.8 // of the latency objective: slower calls count against tier and class
	slowFraction          = 0.6 // of the latency objective: slower calls lower the quotas, in good time
	unloadedSlowFactor    = 1.6 // of the latency without load: slower calls lower the quotas too
	minUnloadedMultiplier = 0.8 // but not below this multiplier, since load is then not what makes them slow
	yieldRatio            = 1.5 // a class yields to one with more than this many times its value for its work
)

// learn takes what an attempt's outcome shows: of the endpoint, the limits, the quotas and the zone.
func (b *Balancer) learn(now Microseconds, req *request, a *attempt, o Outcome) {
	if o.Status == Cancelled || o.Status == NotAttempted {
		return
	}
	class, failed := req.state, o.Status != OK
	blamed := b.outliers.record(a.endpoint, class, o.Status)
	if !failed {
		class.latency.record(a.endpoint, float64(o.Latency))
	}
	latency := float64(now - a.sentAt)
	late := failed && !blamed || !failed && latency > lateFraction*float64(req.class.LatencyObjective)
	slow := late || !failed && latency > b.slowThreshold(req.class, class)
	speed := speedOf(failed, latency <= class.latency.unloaded)
	lateness := sample{sentAt: a.sentAt, bad: late, speed: speed}
	b.tierLimit.adjust(&b.tierLimit.evidence, now, lateness)
	class.limit.adjust(&class.limit.evidence, now, lateness)
	if !a.countedSlow {
		b.applyPressure(now, class, a, pressure{slow: slow, failed: failed, speed: speed})
	}
}

// slowThreshold is the latency in microseconds above which a call counts as slow: well before its objective,
// and clearly above the latency without load.
func (b *Balancer) slowThreshold(c *Class, class *classState) float64 {
	threshold := slowFraction * float64(c.LatencyObjective)
	unloaded := unloadedSlowFactor * class.latency.unloaded
	if b.settings.Tier > 0 || b.quotas.multiplier <= minUnloadedMultiplier || threshold < unloaded {
		return threshold
	}
	return unloaded
}

// valuePerWork is the value of a class's requests for each unit of work. Where the settings state no value by
// work, the latency without load stands for the work.
func (b *Balancer) valuePerWork(c *Class, class *classState) float64 {
	if b.settings.PriorityPerWorkUnit {
		return c.PriorityWeight
	}
	return c.PriorityWeight / class.latency.unloaded
}

// pressure is what a call shows of slowness.
type pressure struct {
	slow   bool
	failed bool
	speed  responseSpeed
}

// applyPressure takes a call into what yields to slow calls: classes with clearly less value,
// the tenants' quotas and the preference for the own zone. Classes yield only to calls that are near their
// objective; those that are merely slower than without load lower the quotas alone.
func (b *Balancer) applyPressure(now Microseconds, class *classState, a *attempt, p pressure) {
	near := float64(now-a.sentAt) > slowFraction*float64(a.class.LatencyObjective)
	nearness := sample{sentAt: a.sentAt, bad: p.slow && near, speed: p.speed}
	value := b.valuePerWork(a.class, class)
	for i, other := range b.classes {
		// An outstanding call may yet come near its objective or not.
		if value > yieldRatio*b.valuePerWork(&b.settings.Classes[i], other) && (near || !a.outstanding) {
			other.limit.adjust(&other.yieldEvidence, now, nearness)
		}
	}
	b.quotas.adjust(now, sample{sentAt: a.sentAt, bad: p.slow, speed: p.speed})
	if a.zone == b.settings.Zone {
		b.zones.adjust(now, sample{sentAt: a.sentAt, bad: p.slow || p.failed, speed: p.speed})
	}
}

// markSlowAttempts counts calls as slow once they are outstanding for longer than the slow threshold, not
// when they end: in an overload that is seconds later, and quotas must fall before then.
func (b *Balancer) markSlowAttempts(now Microseconds) {
	for _, class := range b.classes {
		var thresholdClass *Class
		for threshold := Microseconds(0); len(class.unmarked) > 0; {
			a := class.unmarked[0]
			if a.class != thresholdClass {
				thresholdClass, threshold = a.class, Microseconds(b.slowThreshold(a.class, class))
			}
			if now-a.sentAt <= threshold {
				break
			}
			class.unmarked = class.unmarked[1:]
			if a.outstanding {
				a.countedSlow = true
				b.applyPressure(now, class, a, pressure{slow: true, speed: slowResponse})
			}
		}
	}
}

// configureEvidence sets by what the evidence is judged.
func (b *Balancer) configureEvidence() {
	allowedBad, floor, longest := maxBadFraction, minLimit, Microseconds(0)
	if b.settings.Tier > 0 {
		allowedBad, floor = innerMaxBadFraction, innerMinLimit
	}
	for i, state := range b.classes {
		duration := roundObjectives * b.settings.Classes[i].LatencyObjective
		longest = max(longest, duration)
		state.limit.floor = floor
		state.limit.evidence.configure(allowedBad, duration)
		state.yieldEvidence.configure(maxSlowFraction, duration)
	}
	b.tierLimit.floor = floor
	b.tierLimit.evidence.configure(allowedBad, longest)
	b.quotas.evidence.configure(maxSlowFraction, longest)
	b.zones.evidence.configure(maxSlowFraction, longest)
}
