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
			b.applyBackpressure(now, b.classes[class], a, callResult{slow: true, speed: slowResponse})
		}
	}
	feedSlow(1)
	if lowPriority.max > 10 || highPriority.max != initialLimit {
		t.Errorf("slow calls of the class of higher priority leave limits %v and %v", lowPriority.max, highPriority.max)
	}
	feedSlow(0)
	if highPriority.max != initialLimit {
		t.Errorf("slow calls of the class of lower priority cut the other's limit to %v", highPriority.max)
	}
}

// A third of the calls of the class of higher priority take much longer than the rest, all well within the objective.
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
			steps = 28 // 0.28 s, with an objective of 0.5 s
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
