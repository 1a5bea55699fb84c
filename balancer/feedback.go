package balancer

const (
	lateFraction          = 0.8 // of the latency objective: slower calls count against tier and class
	slowFraction          = 0.6 // of the latency objective: slower calls lower the quotas, in good time
	unloadedSlowFactor    = 1.6 // of the latency without load: slower calls lower the quotas too
	minUnloadedMultiplier = 0.8 // but not below this multiplier, since load is then not what makes them slow
	preemptionRatio       = 1.5 // a class with more than this many times the priority preempts another
)

// learn takes what an attempt's outcome shows: of the endpoint, the limits, the quotas and the zone.
func (b *Balancer) learn(now Microseconds, req *request, a *attempt, o Outcome) {
	if o.Status == Cancelled || o.Status == NotAttempted {
		return
	}
	class, failed := req.classState, o.Status != OK
	ownFault := b.outliers.record(a.endpoint, class, o.Status)
	if !failed {
		class.latency.record(a.endpoint, float64(o.Latency))
	}
	latency := float64(now - a.sentAt)
	late := failed && !ownFault || !failed && latency > lateFraction*float64(req.class.LatencyObjective)
	slow := late || !failed && latency > b.slowThreshold(req.class, class)
	speed := speedOf(failed, latency <= class.latency.unloaded)
	lateness := sample{sentAt: a.sentAt, bad: late, speed: speed}
	b.tierLimit.adjust(&b.tierLimit.evidence, now, lateness)
	class.limit.adjust(&class.limit.evidence, now, lateness)
	if !a.countedSlow {
		b.applyBackpressure(now, class, a, callResult{slow: slow, failed: failed, speed: speed})
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

// priorityPerWork is the priority of a class's requests for each unit of work. Where the settings state it
// for each request, the latency without load stands for the work.
func (b *Balancer) priorityPerWork(c *Class, class *classState) float64 {
	if b.settings.PriorityPerWorkUnit {
		return c.PriorityWeight
	}
	return c.PriorityWeight / class.latency.unloaded
}

// callResult is what a call shows at its end, or while it is outstanding.
type callResult struct {
	slow   bool // over the slow threshold, or late
	failed bool
	speed  responseSpeed
}

// applyBackpressure takes a call as a sample for what slow calls reduce: the limits of classes with clearly
// less priority, the tenants' quotas and the preference for the own zone. A call preempts other classes only
// when it is near its objective; one that is merely slower than without load lowers the quotas alone.
func (b *Balancer) applyBackpressure(now Microseconds, class *classState, a *attempt, result callResult) {
	near := float64(now-a.sentAt) > slowFraction*float64(a.class.LatencyObjective)
	nearness := sample{sentAt: a.sentAt, bad: result.slow && near, speed: result.speed}
	priority := b.priorityPerWork(a.class, class)
	for i, other := range b.classes {
		preempts := priority > preemptionRatio*b.priorityPerWork(&b.settings.Classes[i], other)
		if preempts && (near || !a.outstanding) { // an outstanding call may yet come near its objective
			other.limit.adjust(&other.preemptionEvidence, now, nearness)
		}
	}
	b.quotas.adjust(now, sample{sentAt: a.sentAt, bad: result.slow, speed: result.speed})
	if a.zone == b.settings.Zone {
		b.zones.adjust(now, sample{sentAt: a.sentAt, bad: result.slow || result.failed, speed: result.speed})
	}
}

// countSlowAttempts counts calls as slow once they are outstanding for longer than the slow threshold, not
// when they end: in an overload that is seconds later, and quotas must fall before then.
func (b *Balancer) countSlowAttempts(now Microseconds) {
	for _, class := range b.classes {
		b.countSlowAttemptsOf(now, class)
	}
}

func (b *Balancer) countSlowAttemptsOf(now Microseconds, class *classState) {
	var thresholdClass *Class // whose threshold it is: the settings of a class may have changed
	threshold := Microseconds(0)
	for len(class.notYetSlow) > 0 {
		a := class.notYetSlow[0]
		if a.class != thresholdClass {
			thresholdClass, threshold = a.class, Microseconds(b.slowThreshold(a.class, class))
		}
		if now-a.sentAt <= threshold {
			return
		}
		class.notYetSlow = class.notYetSlow[1:]
		if a.outstanding {
			a.countedSlow = true
			b.applyBackpressure(now, class, a, callResult{slow: true, speed: slowResponse})
		}
	}
}

// configureEvidence sets what makes rounds bad and how long they last, by the settings.
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
		state.preemptionEvidence.configure(maxSlowFraction, duration)
	}
	b.tierLimit.floor = floor
	b.tierLimit.evidence.configure(allowedBad, longest)
	b.quotas.evidence.configure(maxSlowFraction, longest)
	b.zones.evidence.configure(maxSlowFraction, longest)
}
