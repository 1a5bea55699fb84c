package balancer

import "testing"

// Late connections, resets and the failures of a deeper tier that meets them made the front refuse most calls while
// its servers stood nearly idle. Beside calls that are as fast as under little load they are no evidence of load.
func TestFailuresBesideFastCallsCutNoCount(t *testing.T) {
	r := concurrencyLimit{max: initialLimit, floor: minLimit, evidence: evidenceRound{allowedBad: maxBadFraction, minDuration: second}}
	for range 20 {
		r.acquire()
	}
	for i := range Microseconds(20 * minRoundSamples) {
		bad := i%3 > 0 // two of three calls are late or fail, the others are fast
		r.adjust(&r.evidence, start+i, start+i, bad, speedOf(bad, true))
	}
	if want := limitHeadroomFactor * 20; r.max < want {
		t.Errorf("failures beside fast calls cut the count to %v, want %v or more", r.max, want)
	}
	for i := range Microseconds(20 * minRoundSamples) {
		now := start + second + i
		r.adjust(&r.evidence, now, now, i%3 > 0, slowResponse) // as many are bad, but now no other is fast
	}
	if r.max > 5 {
		t.Errorf("slow calls leave a count of %v", r.max)
	}
}

func TestFailuresBesideFastCallsLeaveTenantsTheirShares(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	feed := func(from Microseconds, fast bool) {
		for i := range Microseconds(20 * minRoundSamples) {
			now := from + i
			bad := i%3 > 0
			b.recordPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, bad, bad, speedOf(bad && fast, fast))
		}
	}
	feed(start, true)
	if b.quotaMultiplier != overloadQuotaMultiplierFront {
		t.Errorf("failures beside fast calls leave a share of %v, want %v", b.quotaMultiplier, overloadQuotaMultiplierFront)
	}
	feed(start+second, false)
	if b.quotaMultiplier > 0.5 {
		t.Errorf("slow calls leave a share of %v", b.quotaMultiplier)
	}
}
