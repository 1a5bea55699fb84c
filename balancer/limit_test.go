package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestConcurrencyLimitAdmitsFractionByChance(t *testing.T) {
	l := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if l.admits(c.u) != c.want {
			t.Fatalf("admits(%v) is %v with %d in flight of 2.25", c.u, !c.want, l.inFlight)
		}
		if c.want {
			l.acquire()
		}
	}
}

// After calm rounds the limit has come down to what was in use, so that a burst does not fill all endpoints.
func TestConcurrencyLimitFollowsUse(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	now, n := testStart, 0
	for ; n < 200; n++ { // one call in flight at a time
		now += second / 4
		sendRequest(b, h, now, fmt.Sprint(n), idempotentClass)
		succeed(b, h, now+100_000, fmt.Sprint(n), 100_000)
	}
	before := len(h.sends)
	for range 50 {
		n++
		sendRequest(b, h, now+second/5, fmt.Sprint(n), idempotentClass)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("%d of a burst of 50 are sent after one in flight at a time, want 3 to 6", sent)
	}
}

func newLimit() concurrencyLimit {
	return concurrencyLimit{max: initialLimit, floor: minLimit,
		evidence: evidenceRound{allowedBad: maxBadFraction, minDuration: second}}
}

func TestConcurrencyLimitAdjustsByRounds(t *testing.T) {
	l, now := newLimit(), testStart
	feed := func(n int, bad bool) {
		for range n {
			now++
			l.adjust(&l.evidence, now, sample{now, bad, speedOf(false, !bad)})
		}
	}
	for range 20 {
		l.acquire()
	}
	feed(minRoundSamples, false)
	afterGood := limitHeadroomFactor*20 + limitHeadroom
	if l.max != afterGood {
		t.Errorf("after a good round: %v, want %v", l.max, afterGood)
	}
	decisive := int(math.Floor(maxBadFraction*minRoundSamples)) + 1 // bad samples that good ones cannot outweigh
	feed(decisive-1, true)
	if l.max != afterGood {
		t.Errorf("before the round is complete: %v, want %v", l.max, afterGood)
	}
	feed(1, true)
	cut := 20 * (1 - decreaseFactor*float64(decisive)/(minRoundSamples/2))
	if l.max != cut {
		t.Errorf("after a bad round: %v, want %v", l.max, cut)
	}
	sentBefore := now - 1
	for range 3 * minRoundSamples {
		l.adjust(&l.evidence, now, sample{sentBefore, true, slowResponse})
	}
	if l.max != cut {
		t.Errorf("after samples of calls sent before the cut: %v, want %v", l.max, cut)
	}
	l.inFlight, l.peak = 0, 0
	for range 50 {
		feed(minRoundSamples, true)
	}
	if l.max != minLimit {
		t.Errorf("after many bad rounds: %v, want %v", l.max, minLimit)
	}
}

// Failures beside calls that are as fast as without load are no evidence of load.
func TestConcurrencyLimitIsNotCutByFaults(t *testing.T) {
	l := newLimit()
	for range 20 {
		l.acquire()
	}
	for i := range Microseconds(20 * minRoundSamples) {
		bad := i%3 > 0 // two of three calls are late or fail, the others are fast
		l.adjust(&l.evidence, testStart+i, sample{testStart + i, bad, speedOf(bad, true)})
	}
	if want := limitHeadroomFactor * 20; l.max < want {
		t.Errorf("failures beside fast calls: %v, want %v or more", l.max, want)
	}
	for i := range Microseconds(20 * minRoundSamples) { // as many are bad, but no other is fast
		now := testStart + second + i
		l.adjust(&l.evidence, now, sample{now, i%3 > 0, slowResponse})
	}
	if l.max > 5 {
		t.Errorf("slow calls: %v, want 5 or less", l.max)
	}
}

func TestConcurrencyLimitRisesByPartOfSmallLimit(t *testing.T) {
	for before, want := range map[float64]float64{1: 1.2, 4: 4.8, 5: 6, 20: 21} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			l := newLimit()
			l.max, l.peak = before, 100
			for range minRoundSamples {
				l.adjust(&l.evidence, testStart, sample{testStart, false, fastResponse})
			}
			if math.Abs(l.max-want) > 1e-9 {
				t.Errorf("limit %v after a good round, want %v", l.max, want)
			}
		})
	}
}
