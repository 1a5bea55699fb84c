package balancer

const (
	// A call is late above lateFraction of the latency objective: it counts against tier and class limits.
	lateFraction = 0.8
	// A call is slow above slowFraction of the latency objective: it lowers the quotas before calls are late.
	slowFraction = 0.6
	// At the front tier, a call is also slow above unloadedSlowFactor times the latency without load, but
	// only while the quota multiplier is above unloadedSlowMinMultiplier: otherwise, load is not what makes
	// calls slow.
	unloadedSlowFactor        = 1.6
	unloadedSlowMinMultiplier = 0.8
	// A class preempts classes whose priority is lower by more than the factor preemptionRatio.
	preemptionRatio = 1.5
)

// recordOutcome updates the endpoint's health, the latency estimates, the limits, the quotas and the zone
// preference with the outcome of an attempt.
func (b *Balancer) recordOutcome(now Microseconds, req *request, a *attempt, o Outcome) {
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
	lateSample := sample{sentAt: a.sentAt, bad: late, speed: speed}
	b.tierLimit.adjust(&b.tierLimit.evidence, now, lateSample)
	class.limit.adjust(&class.limit.evidence, now, lateSample)
	if !a.countedSlow {
		b.applyBackpressure(now, class, a, callObservation{slow: slow, failed: failed, speed: speed})
	}
}

// slowThreshold returns the latency in microseconds above which a call counts as slow. It is slowFraction of
// the latency objective or, if that is less, unloadedSlowFactor times the latency without load. The latter
// applies only at the front tier, and only while the quota multiplier is above unloadedSlowMinMultiplier.
func (b *Balancer) slowThreshold(c *Class, class *classState) float64 {
	threshold := slowFraction * float64(c.LatencyObjective)
	unloaded := unloadedSlowFactor * class.latency.unloaded
	if b.settings.Tier > 0 || b.quotas.multiplier <= unloadedSlowMinMultiplier || threshold < unloaded {
		return threshold
	}
	return unloaded
}

// priorityPerWork returns the priority of a class per unit of work. If the settings state the priority per
// request, the latency without load is used as the measure of work.
func (b *Balancer) priorityPerWork(c *Class, class *classState) float64 {
	if b.settings.PriorityPerWorkUnit {
		return c.PriorityWeight
	}
	return c.PriorityWeight / class.latency.unloaded
}

// callObservation is what is known about a call when it ends or, if earlier, when it becomes slow.
type callObservation struct {
	slow   bool // above slowThreshold, or late
	failed bool
	speed  responseSpeed
}

// applyBackpressure adds a call as a sample to everything that is reduced when calls are slow: the limits of
// classes with clearly lower priority, the tenants' quotas and the preference for the proxy's own zone. Only
// a call that is close to its latency objective preempts other classes; one that is merely slower than
// without load does not.
func (b *Balancer) applyBackpressure(now Microseconds, class *classState, a *attempt, call callObservation) {
	nearObjective := float64(now-a.sentAt) > slowFraction*float64(a.class.LatencyObjective)
	preemptionSample := sample{sentAt: a.sentAt, bad: call.slow && nearObjective, speed: call.speed}
	priority := b.priorityPerWork(a.class, class)
	for i, other := range b.classes {
		preempts := priority > preemptionRatio*b.priorityPerWork(&b.settings.Classes[i], other)
		// An outstanding call that is not near its objective yet may still come near it.
		if preempts && (nearObjective || !a.outstanding) {
			other.limit.adjust(&other.preemptionEvidence, now, preemptionSample)
		}
	}
	b.quotas.adjust(now, sample{sentAt: a.sentAt, bad: call.slow, speed: call.speed})
	if a.zone == b.settings.Zone {
		b.zones.adjust(now, sample{sentAt: a.sentAt, bad: call.slow || call.failed, speed: call.speed})
	}
}

// countSlowAttempts counts calls as slow as soon as they have been outstanding for longer than the slow
// threshold. In an overload, calls end seconds later, and quotas must be cut before then.
func (b *Balancer) countSlowAttempts(now Microseconds) {
	for _, class := range b.classes {
		b.countSlowAttemptsInClass(now, class)
	}
}

// countSlowAttemptsInClass is countSlowAttempts for the calls of one class.
func (b *Balancer) countSlowAttemptsInClass(now Microseconds, class *classState) {
	var thresholdClass *Class // threshold was computed for it: a class's settings may have changed
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
			b.applyBackpressure(now, class, a, callObservation{slow: true, speed: slowResponse})
		}
	}
}

// configureEvidence applies the settings to the floors of the limits and to all rounds of evidence.
func (b *Balancer) configureEvidence() {
	allowedBadFraction, floor, longest := maxBadFraction, minLimit, Microseconds(0)
	if b.settings.Tier > 0 {
		allowedBadFraction, floor = innerMaxBadFraction, innerMinLimit
	}
	for i, state := range b.classes {
		duration := minDurationObjectives * b.settings.Classes[i].LatencyObjective
		longest = max(longest, duration)
		state.limit.floor = floor
		state.limit.evidence.configure(allowedBadFraction, duration)
		state.preemptionEvidence.configure(maxSlowFraction, duration)
	}
	b.tierLimit.floor = floor
	b.tierLimit.evidence.configure(allowedBadFraction, longest)
	b.quotas.evidence.configure(maxSlowFraction, longest)
	b.zones.evidence.configure(maxSlowFraction, longest)
}
