package balancer

// This file admits or sheds requests, and learns the limits from how attempts end.

import (
	"cmp"
	"math"
)

const (
	startCount = 1e6  // a count before its first round: a fresh copy refuses nothing while servers answer
	minCount   = 0.3  // a count never falls below this: some calls must go on to bring evidence
	deepCount  = 8.0  // the same in a late tier, where refusing wastes the work done so far
	riseStep   = 1.0  // added to a count after a good round
	risePart   = 0.2  // but no more than this part of a small count
	spareTimes = 1.5  // a good round leaves a count no higher than this times the calls it saw out: an
	spareCalls = 4.0  // unused count guards from no burst; and this many more, for chance at sparse copies
	cutDepth   = 0.6  // a bad round cuts a count or a share by this times its bad part
	roundSize  = 12   // finishes in a round of evidence: fewer are chance, more are late
	roundSpan  = 2    // aims: a round with fewer finishes has lasted long enough
	badPart    = 0.4  // a larger part of late or failed finishes makes a round bad for the counts
	hopeless   = 0.7  // the same in a late tier
	fastPart   = 0.25 // with so many fast ones of all answers no queue stands: faults make others late
	fastLeast  = 0.1  // and of all finishes
	slowMuch   = 0.3  // a larger part of slow finishes makes a round bad for the shares and for home

	lateBar    = 0.8 // of the aim: slower finishes count against the tier and the class
	slowBar    = 0.6 // of the aim: slower finishes press the shares, in time to mend what is late next
	crowdBar   = 1.6 // of the time under little load: slower finishes press the shares too
	crowdLow   = 0.8 // but not below this multiple, since load is then not what makes them slow
	yieldRatio = 1.5 // a class yields to one that is worth more than this many times as much for its work

	shareStart = 2.0  // multiple of its share that a tenant may pass before any evidence, and at most
	sharePress = 1.0  // and after a bad round: what is over the shares goes first
	shareLow   = 0.2  // and at least
	shareDeep  = 20.0 // start in a late tier: quotas count first calls, and the front has shed already
	shareRise  = 0.1  // added after a good round: traffic over the shares is worth little, jams cost much
	shareBack  = 0.15 // the same below 1, where traffic is worth its full price
	shareFull  = 0.8  // and from here on room for chance is whole
	chanceRoom = 2.0  // standard deviations of a Poisson count above the mean that are taken for chance
	windowHold = 24.0 // a QPS window stretches until its count times its length is this much

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

// canPass checks the rules in order.
func (b *Balancer) canPass(now Microseconds, q *request) bool {
	if q.IdleConnections < max(q.ClientConnections/sparePart, min(spareLeast, q.ClientConnections/2)) || !b.tier.canPass(b.rnd.Float64()) {
		return false
	}
	if t := q.origin; t != nil {
		count := b.share * b.fair * t.portion
		if !t.canPass(now, b.born, count, b.room(now, t), b.rnd.Float64()) {
			return false
		}
	}
	return q.class.rule.canPass(b.rnd.Float64())
}

// canPass stretches the one-second window of a small count, so that fractional counts work, but not beyond
// the copy's life. Room for chance guards sparse copies, where single calls fill a tenant's count.
func (r *originRule) canPass(now, born Microseconds, count, room, u float64) bool {
	span := second
	for span < windowWhole && count*float64(span/second) < windowHold && now-born >= span {
		span *= 2
	}
	cur, fair := r.pass.sum(now, span), count*float64(min(span, max(second, now-born)))/float64(second)
	return cur+1 <= fair+u || u < room && cur <= fair+chanceRoom*math.Sqrt(fair)
}

// room is how likely chance is allowed for: less as calls are late, and not if a tenant clearly sends more
// than its part of the quotas and, while nothing is slow, of what this copy gets, as traffic may move here.
func (b *Balancer) room(now Microseconds, t *originRule) float64 {
	part := b.fair * float64(min(now-b.born, tallySpan)) / float64(second)
	if b.share >= 1 {
		part = max(part, b.came.at(now))
	}
	part *= t.portion
	if t.came.at(now) > part+chanceRoom*math.Sqrt(part)+1 {
		return 0
	}
	return min(1, b.share/shareFull)
}

// canPass lets a fractional count work: its fraction is the chance u of one call more. A sparse copy with
// two calls in flight could otherwise shed nothing or half.
func (r *threadRule) canPass(u float64) bool { return float64(r.threads)+1 <= r.count+u }

// add takes one finish. Once the round can be judged it returns the verdict, and by what factor to cut.
func (r *round) add(now, sent Microseconds, bad bool, p pace) (verdict, float64) {
	if r.start = cmp.Or(r.start, sent); sent < r.start {
		return undecided, 1
	}
	r.n++
	r.bad += int(partOf(bad))
	r.answered += int(partOf(p != unanswered))
	r.fast += int(partOf(p == fastPace))
	part := float64(r.bad) / float64(max(r.n, roundSize/2))
	short := now-r.start < r.span || float64(r.bad) > r.allowed*float64(r.n)
	if float64(r.bad) <= r.allowed*roundSize && r.n < roundSize && short {
		return undecided, 1
	}
	v := healthy
	if part > r.allowed && float64(r.fast) >= max(fastPart*float64(r.answered), fastLeast*float64(r.n)) {
		v = faulty
	} else if part > r.allowed {
		v = overloaded
	}
	r.start, r.n, r.bad, r.answered, r.fast = now, 0, 0, 0, 0
	return v, 1 - cutDepth*part
}

func (r *threadRule) learn(ev *round, now, sent Microseconds, bad bool, p pace) {
	switch v, factor := ev.add(now, sent, bad, p); v {
	case undecided:
		return
	case overloaded:
		r.count = max(r.least, min(r.count, float64(r.peak))*factor)
	default: // a fault would not go away if less were sent
		used := max(r.least, spareTimes*float64(r.peak)+spareCalls)
		r.count = min(r.count+min(riseStep, risePart*r.count), used)
	}
	r.peak = r.threads
}

// bound sets what the evidence is judged by.
func (b *Balancer) bound() {
	allowed, least, longest := badPart, minCount, Microseconds(0)
	if b.s.Tier > 0 {
		allowed, least = hopeless, deepCount
	}
	for i, c := range b.classes {
		span := roundSpan * b.s.Classes[i].LatencyObjective
		longest = max(longest, span)
		c.rule.least, c.rule.ev.allowed, c.rule.ev.span = least, allowed, span
		c.yield.allowed, c.yield.span = slowMuch, span
	}
	b.tier.least, b.tier.ev.allowed, b.tier.ev.span = least, allowed, longest
	b.shareEv.allowed, b.shareEv.span = slowMuch, longest
	b.spillEv.allowed, b.spillEv.span = slowMuch, longest
}

// learn takes what an attempt's end tells of the server, the counts, the shares and the zones.
func (b *Balancer) learn(now Microseconds, q *request, a *attempt, o Outcome) {
	if o.Status == Cancelled || o.Status == NotAttempted {
		return
	}
	c, failed := q.class, o.Status != OK
	blame := b.judge(a.srv, c, o.Status)
	if !failed {
		b.reward(c, a.srv, float64(o.Latency))
	}
	spent := float64(now - a.sent)
	late := failed && !blame || !failed && spent > lateBar*float64(q.kind.LatencyObjective)
	slow := late || !failed && spent > b.slowBar(q.kind, c)
	p := paceOf(failed, spent <= c.base)
	b.tier.learn(&b.tier.ev, now, a.sent, late, p)
	c.rule.learn(&c.rule.ev, now, a.sent, late, p)
	if !a.slow {
		b.press(now, c, a, slow, slow || failed, p)
	}
}

// slowBar is when a call counts as slow: well before its aim, and when it takes clearly longer than if
// little waits.
func (b *Balancer) slowBar(k *Class, c *classState) float64 {
	if bar := slowBar * float64(k.LatencyObjective); b.s.Tier > 0 || b.share <= crowdLow || bar < crowdBar*c.base {
		return bar
	}
	return crowdBar * c.base
}

// value is a class's worth for each unit of work, by the time that its calls take when little waits.
func (b *Balancer) value(k *Class, c *classState) float64 {
	if b.s.WeighByWork {
		return k.PriorityWeight
	}
	return k.PriorityWeight / c.base
}

// press takes one piece of evidence on whether the shares and home are under pressure. A class also yields
// to one worth clearly more: that one's calls cut its count when they near their aim. Those only slower
// than in quiet press the shares.
func (b *Balancer) press(now Microseconds, class *classState, a *attempt, slow, homeBad bool, p pace) {
	near := float64(now-a.sent) > slowBar*float64(a.kind.LatencyObjective)
	worth := b.value(a.kind, class)
	for i, c := range b.classes {
		// A call that is still out may yet near its aim or not.
		if worth > yieldRatio*b.value(&b.s.Classes[i], c) && (near || !a.out) {
			c.rule.learn(&c.yield, now, a.sent, slow && near, p)
		}
	}
	switch v, factor := b.shareEv.add(now, a.sent, slow, p); {
	case v == undecided:
	case v == overloaded:
		b.share = max(shareLow, min(b.share, b.shareBad)*factor)
	case b.share < 1:
		b.share = min(1, b.share+shareBack)
	case v == faulty:
		b.share = min(b.share, b.shareBad)
	default:
		b.share = min(b.shareMost, b.share+shareRise)
	}
	if a.zone != b.s.Zone {
		return
	}
	switch v, _ := b.spillEv.add(now, a.sent, homeBad, p); v {
	case healthy:
		b.spill = max(spillLow, b.spill*spillFall)
	case faulty, overloaded:
		b.spill = min(1, b.spill+spillRise)
	}
}

// watch counts calls as slow when they have been out for the slow bar, not when they end: in a jam that is
// seconds later, and shares must fall before then.
func (b *Balancer) watch(now Microseconds) {
	for _, c := range b.classes {
		var kind *Class
		for bar := Microseconds(0); len(c.waiting) > 0; {
			a := c.waiting[0]
			if a.kind != kind {
				kind, bar = a.kind, Microseconds(b.slowBar(a.kind, c))
			}
			if now-a.sent <= bar {
				break
			}
			c.waiting = c.waiting[1:]
			if a.out {
				a.slow = true
				b.press(now, c, a, true, true, slowPace)
			}
		}
	}
}
