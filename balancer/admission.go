package balancer

// This file admits or sheds requests, and learns the limits from how attempts end.

import (
	"cmp"
	"math"
)

const (
	initialLimit        = 1e6  // a count before its first round: a fresh copy refuses nothing while servers answer
	minLimit            = 0.3  // a count never falls below this: some calls must go on to bring evidence
	deepCount           = 8.0  // the same in a late tier, where refusing wastes the work done so far
	limitIncrease       = 1.0  // added to a count after a good round
	risePart            = 0.2  // but no more than this part of a small count
	limitHeadroomFactor = 1.5  // a good round leaves a count no higher than this times the calls it saw out: an
	limitHeadroom       = 4.0  // unused count guards from no burst; and this many more, for chance at sparse copies
	decreaseFactor      = 0.6  // a bad round cuts a count or a share by this times its bad part
	minRoundSamples     = 12   // finishes in a round of evidence: fewer are chance, more are late
	roundObjectives     = 2    // aims: a round with fewer finishes has lasted long enough
	maxBadFraction      = 0.4  // a larger part of late or failed finishes makes a round bad for the counts
	hopeless            = 0.7  // the same in a late tier
	fastPart            = 0.25 // with so many fast ones of all answers no queue stands: faults make others late
	fastLeast           = 0.1  // and of all finishes
	slowMuch            = 0.3  // a larger part of slow finishes makes a round bad for the shares and for home

	lateBar    = 0.8 // of the aim: slower finishes count against the tier and the class
	slowBar    = 0.6 // of the aim: slower finishes press the shares, in time to mend what is late next
	crowdBar   = 1.6 // of the time under little load: slower finishes press the shares too
	crowdLow   = 0.8 // but not below this multiple, since load is then not what makes them slow
	yieldRatio = 1.5 // a class yields to one that is worth more than this many times as much for its work

	initialQuotaMultiplier       = 2.0  // multiple of its share that a tenant may pass before any evidence, and at most
	overloadQuotaMultiplierFront = 1.0  // and after a bad round: what is over the shares goes first
	minQuotaMultiplier           = 0.2  // and at least
	shareDeep                    = 20.0 // start in a late tier: quotas count first calls, and the front has shed already
	shareRise                    = 0.1  // added after a good round: traffic over the shares is worth little, jams cost much
	shareBack                    = 0.15 // the same below 1, where traffic is worth its full price
	shareFull                    = 0.8  // and from here on room for chance is whole
	chanceRoom                   = 2.0  // standard deviations of a Poisson count above the mean that are taken for chance
	windowHold                   = 24.0 // a QPS window stretches until its count times its length is this much

	// Of connections that can't become more, one in so many is kept free, and this many at least, if not
	// more than half. A client that finds none free takes this copy for gone; a refused one has its own
	// back at once. It hurts where few come: it then refuses what the last connections could have served.
	sparePart  = 8
	spareLeast = 3

	spillLow   = 0.02 // weight of servers in other zones while home copes
	spillStart = 0.3  // the same at a fresh copy of the front, which does not know how home copes
	spillRise  = 0.15 // added after a round in which home was slow
	spillFall  = 0.9  // factor after a good round
)

// admits checks the rules in order.
func (b *Balancer) canPass(now Microseconds, req *request) bool {
	if req.IdleConnections < max(req.ClientConnections/sparePart, min(spareLeast, req.ClientConnections/2)) || !b.tierLimit.admits(b.random.Float64()) {
		return false
	}
	if t := req.quota; t != nil {
		count := b.quotaMultiplier * b.fairRate * t.fraction
		if !t.admits(now, b.firstRequestAt, count, b.burstAllowance(now, t), b.random.Float64()) {
			return false
		}
	}
	return req.state.limit.admits(b.random.Float64())
}

// admits stretches the one-second window of a small count, so that fractional counts work, but not beyond
// the copy's life. Room for chance guards sparse copies, where single calls fill a tenant's count.
func (r *tenantQuota) admits(now, born Microseconds, count, room, u float64) bool {
	span := second
	for span < windowWhole && count*float64(span/second) < windowHold && now-born >= span {
		span *= 2
	}
	cur, fair := r.admitted.sum(now, span), count*float64(min(span, max(second, now-born)))/float64(second)
	return cur+1 <= fair+u || u < room && cur <= fair+chanceRoom*math.Sqrt(fair)
}

// burstAllowance is how likely chance is allowed for: less as calls are late, and not if a tenant clearly sends more
// than its part of the quotas and, while nothing is slow, of what this copy gets, as traffic may move here.
func (b *Balancer) burstAllowance(now Microseconds, t *tenantQuota) float64 {
	part := b.fairRate * float64(min(now-b.firstRequestAt, tallySpan)) / float64(second)
	if b.quotaMultiplier >= 1 {
		part = max(part, b.arrivals.at(now))
	}
	part *= t.fraction
	if t.arrivals.at(now) > part+chanceRoom*math.Sqrt(part)+1 {
		return 0
	}
	return min(1, b.quotaMultiplier/shareFull)
}

// admits lets a fractional count work: its fraction is the chance u of one call more. A sparse copy with
// two calls in flight could otherwise shed nothing or half.
func (r *concurrencyLimit) admits(u float64) bool { return float64(r.inFlight)+1 <= r.max+u }

// add takes one finish. Once the round can be judged it returns the verdict, and by what factor to cut.
func (r *evidenceRound) add(now, sent Microseconds, bad bool, p responseSpeed) (loadSignal, float64) {
	if r.start = cmp.Or(r.start, sent); sent < r.start {
		return signalPending, 1
	}
	r.n++
	r.bad += int(partOf(bad))
	r.answered += int(partOf(p != noResponse))
	r.fast += int(partOf(p == fastResponse))
	part := float64(r.bad) / float64(max(r.n, minRoundSamples/2))
	short := now-r.start < r.minDuration || float64(r.bad) > r.allowedBad*float64(r.n)
	if float64(r.bad) <= r.allowedBad*minRoundSamples && r.n < minRoundSamples && short {
		return signalPending, 1
	}
	v := signalHealthy
	if part > r.allowedBad && float64(r.fast) >= max(fastPart*float64(r.answered), fastLeast*float64(r.n)) {
		v = signalFaulty
	} else if part > r.allowedBad {
		v = signalOverloaded
	}
	r.start, r.n, r.bad, r.answered, r.fast = now, 0, 0, 0, 0
	return v, 1 - decreaseFactor*part
}

func (r *concurrencyLimit) adjust(ev *evidenceRound, now, sent Microseconds, bad bool, p responseSpeed) {
	switch v, factor := ev.add(now, sent, bad, p); v {
	case signalPending:
		return
	case signalOverloaded:
		r.max = max(r.floor, min(r.max, float64(r.peak))*factor)
	default: // a fault would not go away if less were sent
		used := max(r.floor, limitHeadroomFactor*float64(r.peak)+limitHeadroom)
		r.max = min(r.max+min(limitIncrease, risePart*r.max), used)
	}
	r.peak = r.inFlight
}

// bound sets what the evidence is judged by.
func (b *Balancer) bound() {
	allowed, least, longest := maxBadFraction, minLimit, Microseconds(0)
	if b.settings.Tier > 0 {
		allowed, least = hopeless, deepCount
	}
	for i, c := range b.classes {
		span := roundObjectives * b.settings.Classes[i].LatencyObjective
		longest = max(longest, span)
		c.limit.floor, c.limit.evidence.allowedBad, c.limit.evidence.minDuration = least, allowed, span
		c.yieldEvidence.allowedBad, c.yieldEvidence.minDuration = slowMuch, span
	}
	b.tierLimit.floor, b.tierLimit.evidence.allowedBad, b.tierLimit.evidence.minDuration = least, allowed, longest
	b.quotaEvidence.allowedBad, b.quotaEvidence.minDuration = slowMuch, longest
	b.crossZoneEvidence.allowedBad, b.crossZoneEvidence.minDuration = slowMuch, longest
}

// learn takes what an attempt's end tells of the server, the counts, the shares and the zones.
func (b *Balancer) learn(now Microseconds, req *request, a *attempt, o Outcome) {
	if o.Status == Cancelled || o.Status == NotAttempted {
		return
	}
	c, failed := req.state, o.Status != OK
	blame := b.recordStatus(a.endpoint, c, o.Status)
	if !failed {
		b.recordLatency(c, a.endpoint, float64(o.Latency))
	}
	spent := float64(now - a.sentAt)
	late := failed && !blame || !failed && spent > lateBar*float64(req.class.LatencyObjective)
	slow := late || !failed && spent > b.slowBar(req.class, c)
	p := speedOf(failed, spent <= c.unloadedLatency)
	b.tierLimit.adjust(&b.tierLimit.evidence, now, a.sentAt, late, p)
	c.limit.adjust(&c.limit.evidence, now, a.sentAt, late, p)
	if !a.countedSlow {
		b.recordPressure(now, c, a, slow, slow || failed, p)
	}
}

// slowBar is when a call counts as slow: well before its aim, and when it takes clearly longer than if
// little waits.
func (b *Balancer) slowBar(k *Class, c *classState) float64 {
	if bar := slowBar * float64(k.LatencyObjective); b.settings.Tier > 0 || b.quotaMultiplier <= crowdLow || bar < crowdBar*c.unloadedLatency {
		return bar
	}
	return crowdBar * c.unloadedLatency
}

// value is a class's worth for each unit of work, by the time that its calls take when little waits.
func (b *Balancer) value(k *Class, c *classState) float64 {
	if b.settings.PriorityPerWorkUnit {
		return k.PriorityWeight
	}
	return k.PriorityWeight / c.unloadedLatency
}

// recordPressure takes one piece of evidence on whether the shares and home are under pressure. A class also yields
// to one worth clearly more: that one's calls cut its count when they near their aim. Those only slower
// than in quiet press the shares.
func (b *Balancer) recordPressure(now Microseconds, class *classState, a *attempt, slow, homeBad bool, p responseSpeed) {
	near := float64(now-a.sentAt) > slowBar*float64(a.class.LatencyObjective)
	worth := b.value(a.class, class)
	for i, c := range b.classes {
		// A call that is still out may yet near its aim or not.
		if worth > yieldRatio*b.value(&b.settings.Classes[i], c) && (near || !a.outstanding) {
			c.limit.adjust(&c.yieldEvidence, now, a.sentAt, slow && near, p)
		}
	}
	switch v, factor := b.quotaEvidence.add(now, a.sentAt, slow, p); {
	case v == signalPending:
	case v == signalOverloaded:
		b.quotaMultiplier = max(minQuotaMultiplier, min(b.quotaMultiplier, b.overloadQuotaMultiplier)*factor)
	case b.quotaMultiplier < 1:
		b.quotaMultiplier = min(1, b.quotaMultiplier+shareBack)
	case v == signalFaulty:
		b.quotaMultiplier = min(b.quotaMultiplier, b.overloadQuotaMultiplier)
	default:
		b.quotaMultiplier = min(b.maxQuotaMultiplier, b.quotaMultiplier+shareRise)
	}
	if a.zone != b.settings.Zone {
		return
	}
	switch v, _ := b.crossZoneEvidence.add(now, a.sentAt, homeBad, p); v {
	case signalHealthy:
		b.crossZoneWeight = max(spillLow, b.crossZoneWeight*spillFall)
	case signalFaulty, signalOverloaded:
		b.crossZoneWeight = min(1, b.crossZoneWeight+spillRise)
	}
}

// markSlowAttempts counts calls as slow when they have been out for the slow bar, not when they end: in a jam that is
// seconds later, and shares must fall before then.
func (b *Balancer) markSlowAttempts(now Microseconds) {
	for _, c := range b.classes {
		var kind *Class
		for bar := Microseconds(0); len(c.unmarked) > 0; {
			a := c.unmarked[0]
			if a.class != kind {
				kind, bar = a.class, Microseconds(b.slowBar(a.class, c))
			}
			if now-a.sentAt <= bar {
				break
			}
			c.unmarked = c.unmarked[1:]
			if a.outstanding {
				a.countedSlow = true
				b.recordPressure(now, c, a, true, true, slowResponse)
			}
		}
	}
}
