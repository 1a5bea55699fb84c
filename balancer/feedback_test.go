package balancer

import (
	"fmt"
	"testing"
)

func TestApplyBackpressureCutsClassOfLowerPriority(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := newWithEndpoints(t, s, 4)
	lowPriority, highPriority := &b.classes[0].limit, &b.classes[1].limit
	for range 10 {
		lowPriority.acquire()
		highPriority.acquire()
	}
	now, nearObjective := testStart, s.Classes[1].LatencyObjective*3/4
	feedSlow := func(class int) {
		for range 4 * minRoundSamples {
			now += 2 * nearObjective
			a := &attempt{class: &b.settings.Classes[class], sentAt: now - nearObjective}
			b.applyBackpressure(now, b.classes[class], a, callObservation{slow: true, speed: slowResponse})
		}
	}
	feedSlow(1)
	if lowPriority.max > 10 || highPriority.max != initialLimit {
		t.Errorf("limits %v and %v after slow calls of the higher priority, want only the first reduced",
			lowPriority.max, highPriority.max)
	}
	feedSlow(0)
	if highPriority.max != initialLimit {
		t.Errorf("slow calls of the class with lower priority reduced the other class's limit to %v",
			highPriority.max)
	}
}

// A third of the calls of the class with higher priority take much longer than the others, but stay well
// within the objective.
func TestApplyBackpressureIgnoresVaryingLatency(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, h := newWithEndpoints(t, s, 4)
	const stepLength = 10_000 // microseconds
	ends := map[Microseconds][]string{}
	for step := range Microseconds(2000) {
		now := testStart + step*stepLength
		for _, id := range ends[step] {
			succeed(b, h, now, id, now-b.requests[id].arrivedAt)
		}
		if step%3 > 0 {
			continue
		}
		id, class, steps := fmt.Sprint(step), int(step/3%2), Microseconds(10)
		if class == 1 && step%9 == 0 {
			steps = 28 // 0.28 s; the objective is 0.5 s
		}
		sendRequest(b, h, now, id, class)
		if b.requests[id] != nil {
			ends[step+steps] = append(ends[step+steps], id)
		}
	}
	if len(h.retryAfters) > 0 {
		t.Errorf("%d of %d requests rejected", len(h.retryAfters), len(h.retryAfters)+len(h.sends))
	}
}

// newWithTwoClasses returns a Balancer with a class of low and a class of high priority, each with calls in
// flight.
func newWithTwoClasses(t *testing.T) (b *Balancer, low, high *classState) {
	t.Helper()
	s := testSettings()
	s.Classes = s.Classes[:2]
	s.Classes[1].PriorityWeight = 40
	b, _ = newWithEndpoints(t, s, 4)
	for _, class := range b.classes {
		for range 10 {
			class.limit.acquire()
		}
	}
	return b, b.classes[0], b.classes[1]
}

func TestApplyBackpressurePreemptsOnlyNearObjective(t *testing.T) {
	objective := testSettings().Classes[1].LatencyObjective
	for _, c := range []struct {
		name        string
		latency     Microseconds
		outstanding bool
		preempted   bool
		samples     int // of the class with low priority
	}{
		{"ended near its objective", objective * 3 / 4, false, true, 1},
		{"outstanding near its objective", objective * 3 / 4, true, true, 1},
		{"ended far from its objective", objective / 4, false, false, 1},
		{"outstanding far from its objective", objective / 4, true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, low, _ := newWithTwoClasses(t)
			feed := func() {
				a := &attempt{class: &b.settings.Classes[1], sentAt: testStart, outstanding: c.outstanding}
				b.applyBackpressure(testStart+c.latency, b.classes[1], a,
					callObservation{slow: true, speed: slowResponse})
			}
			feed()
			if got := low.preemptionEvidence.samples; got != c.samples {
				t.Errorf("%d samples after one call, want %d", got, c.samples)
			}
			for range 4 * minRoundSamples {
				feed()
			}
			if preempted := low.limit.max <= 10; preempted != c.preempted {
				t.Errorf("limit %v of the class with low priority, want it reduced: %v",
					low.limit.max, c.preempted)
			}
		})
	}
}

func TestApplyBackpressureAdjustsZonePreferenceByOwnZoneOnly(t *testing.T) {
	for zone, want := range []int{1, 0} {
		t.Run(fmt.Sprint("zone ", zone), func(t *testing.T) {
			b, _, _ := newWithTwoClasses(t)
			a := &attempt{class: &b.settings.Classes[0], sentAt: testStart, zone: zone}
			b.applyBackpressure(testStart+1000, b.classes[0], a,
				callObservation{failed: true, speed: noResponse})
			if got := b.zones.evidence.bad; got != want {
				t.Errorf("%d bad samples, want %d", got, want)
			}
		})
	}
}

// A call that was counted as slow while it was outstanding must not be counted again when it ends.
func TestHandleOutcomeCountsSlowAttemptOnce(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	sendRequest(b, h, testStart, "slow", idempotentClass)
	now := testStart + testSettings().Classes[idempotentClass].LatencyObjective
	sendRequest(b, h, now, "other", idempotentClass)
	if got := b.quotas.evidence.samples; got != 1 {
		t.Fatalf("%d samples while the call is outstanding, want 1", got)
	}
	succeed(b, h, now+1000, "slow", now+1000-testStart)
	if got := b.quotas.evidence.samples; got != 1 {
		t.Errorf("%d samples after the call's end, want 1", got)
	}
}

func TestSlowThresholdFollowsTierAndMultiplier(t *testing.T) {
	const objective = 500_000
	for _, c := range []struct {
		name                 string
		tier                 int
		multiplier, unloaded float64
		want                 float64
	}{
		{"fast without load", 0, 1, 100_000, unloadedSlowFactor * 100_000},
		{"slow without load", 0, 1, 400_000, slowFraction * objective},
		{"quotas reduced", 0, unloadedSlowMinMultiplier, 100_000, slowFraction * objective},
		{"behind the front tier", 1, 1, 100_000, slowFraction * objective},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Tier = c.tier
			b := mustNew(t, s)
			b.quotas.multiplier = c.multiplier
			b.classes[0].latency.unloaded = c.unloaded
			if got := b.slowThreshold(&b.settings.Classes[0], b.classes[0]); got != c.want {
				t.Errorf("threshold %v, want %v", got, c.want)
			}
		})
	}
}
