package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestConcurrencyLimitAdmitsFractionByChance(t *testing.T) {
	r := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if r.admits(c.u) != c.want {
			t.Fatalf("canPass is %v at %d in flight of 2.25 with %v", !c.want, r.inFlight, c.u)
		}
		if c.want {
			r.acquire()
		}
	}
}

// TestConcurrencyLimitFollowsUse sends a burst after calm rounds: the limit must have come down to what was in use.
func TestConcurrencyLimitFollowsUse(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, n := start, 0
	for ; n < 200; n++ { // one call out at a time
		now += second / 4
		ask(b, h, now, fmt.Sprint(n), 0)
		b.HandleOutcome(now+100_000, h, Outcome{ID: fmt.Sprint(n), Status: OK, Latency: 100_000, RequestDone: true})
	}
	before := len(h.sends)
	for range 50 {
		n++
		ask(b, h, now+second/5, fmt.Sprint(n), 0)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("of a burst of 50 calls %d are sent where one at a time was seen out", sent)
	}
}

func TestConcurrencyLimitAdjustsByRounds(t *testing.T) {
	r := concurrencyLimit{max: initialLimit, floor: minLimit, evidence: evidenceRound{allowedBad: maxBadFraction, minDuration: second}}
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			r.adjust(&r.evidence, now, sample{now, bad, speedOf(false, !bad)})
		}
	}
	for range 20 {
		r.acquire()
	}
	feed(minRoundSamples, false)
	if want := limitHeadroomFactor*20 + limitHeadroom; r.max != want {
		t.Errorf("after a good round: %v, want %v", r.max, want)
	}
	sure := int(math.Floor(maxBadFraction*minRoundSamples)) + 1 // bad finishes after which no good ones could save the round
	feed(sure-1, true)
	if want := limitHeadroomFactor*20 + limitHeadroom; r.max != want {
		t.Errorf("before its verdict is sure a round changed the count to %v", r.max)
	}
	feed(1, true)
	cut := 20 * (1 - decreaseFactor*float64(sure)/(minRoundSamples/2))
	if r.max != cut {
		t.Errorf("after a bad round: %v, want %v", r.max, cut)
	}
	sentBefore := now - 1
	for range 3 * minRoundSamples { // evidence from before the cut must not cut again
		r.adjust(&r.evidence, now, sample{sentBefore, true, slowResponse})
	}
	if r.max != cut {
		t.Errorf("old evidence changed the count to %v", r.max)
	}
	r.inFlight, r.peak = 0, 0
	for range 50 {
		feed(minRoundSamples, true)
	}
	if r.max != minLimit {
		t.Errorf("the count fell to %v, below its floor %v", r.max, minLimit)
	}
}

// TestConcurrencyLimitKeepsThroughFaults mixes failures with calls that are as fast as without load, which are no evidence of load.
func TestConcurrencyLimitKeepsThroughFaults(t *testing.T) {
	r := concurrencyLimit{max: initialLimit, floor: minLimit, evidence: evidenceRound{allowedBad: maxBadFraction, minDuration: second}}
	for range 20 {
		r.acquire()
	}
	for i := range Microseconds(20 * minRoundSamples) {
		bad := i%3 > 0 // two of three calls are late or fail, the others are fast
		r.adjust(&r.evidence, start+i, sample{start + i, bad, speedOf(bad, true)})
	}
	if want := limitHeadroomFactor * 20; r.max < want {
		t.Errorf("failures beside fast calls cut the count to %v, want %v or more", r.max, want)
	}
	for i := range Microseconds(20 * minRoundSamples) {
		now := start + second + i
		r.adjust(&r.evidence, now, sample{now, i%3 > 0, slowResponse}) // as many are bad, but now no other is fast
	}
	if r.max > 5 {
		t.Errorf("slow calls leave a count of %v", r.max)
	}
}
