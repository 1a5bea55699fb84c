package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestConcurrencyLimitAdmitsFractionalCallByProbability(t *testing.T) {
	l := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if l.admits(c.u) != c.want {
			t.Fatalf("admits(%v) is %v with %d calls in flight and a limit of 2.25", c.u, !c.want, l.inFlight)
		}
		if c.want {
			l.acquire()
		}
	}
}

// After rounds with little traffic the limit must have come down to the calls in use, so that a burst does
// not fill all endpoints.
func TestConcurrencyLimitTracksUsage(t *testing.T) {
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
		t.Errorf("%d requests of a burst of 50 sent after one in flight at a time, want 3 to 6", sent)
	}
}

func newLimit() concurrencyLimit {
	return concurrencyLimit{max: initialLimit, floor: minLimit,
		evidence: evidenceRound{allowedBadFraction: maxBadFraction, minDuration: second}}
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
		t.Errorf("limit after a good round: %v, want %v", l.max, afterGood)
	}
	// With this many bad samples the round is bad in any case.
	decisive := int(math.Floor(maxBadFraction*minRoundSamples)) + 1
	feed(decisive-1, true)
	if l.max != afterGood {
		t.Errorf("limit before the round is complete: %v, want %v", l.max, afterGood)
	}
	feed(1, true)
	reduced := 20 * (1 - decreaseFactor*float64(decisive)/(minRoundSamples/2))
	if l.max != reduced {
		t.Errorf("limit after a bad round: %v, want %v", l.max, reduced)
	}
	sentBefore := now - 1
	for range 3 * minRoundSamples {
		l.adjust(&l.evidence, now, sample{sentBefore, true, slowResponse})
	}
	if l.max != reduced {
		t.Errorf("limit after samples of calls sent before it was reduced: %v, want %v", l.max, reduced)
	}
	l.inFlight, l.peak = 0, 0
	for range 50 {
		feed(minRoundSamples, true)
	}
	if l.max != minLimit {
		t.Errorf("limit after many bad rounds: %v, want %v", l.max, minLimit)
	}
}

// Failures must not count as overload while other calls are as fast as without load.
func TestConcurrencyLimitIsNotCutByFaults(t *testing.T) {
	l := newLimit()
	for range 20 {
		l.acquire()
	}
	for i := range Microseconds(20 * minRoundSamples) {
		bad := i%3 > 0 // two of three calls fail, the others are fast
		l.adjust(&l.evidence, testStart+i, sample{testStart + i, bad, speedOf(bad, true)})
	}
	if want := limitHeadroomFactor * 20; l.max < want {
		t.Errorf("limit %v after failures with fast calls in between, want %v or more", l.max, want)
	}
	for i := range Microseconds(20 * minRoundSamples) { // as many calls are bad, and the others are not fast
		now := testStart + second + i
		l.adjust(&l.evidence, now, sample{now, i%3 > 0, slowResponse})
	}
	if l.max > 5 {
		t.Errorf("limit %v after slow calls, want 5 or less", l.max)
	}
}

func TestConcurrencyLimitRaisesSmallLimitProportionally(t *testing.T) {
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
