package balancer

import (
	"fmt"
	"testing"
)

func TestApplyPressureCutsClassOfLessValue(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := with(t, s, 4)
	cheap, dear := &b.classes[0].limit, &b.classes[1].limit
	for range 10 {
		cheap.acquire()
		dear.acquire()
	}
	now, long := start, s.Classes[1].LatencyObjective*3/4
	for range 4 * minRoundSamples {
		now += 2 * long
		b.applyPressure(now, b.classes[1], &attempt{class: &b.settings.Classes[1], sentAt: now - long}, pressure{slow: true, speed: slowResponse})
	}
	if cheap.max > 10 || dear.max != initialLimit {
		t.Errorf("after slow calls of the worthier class: cheap %v, dear %v", cheap.max, dear.max)
	}
	for range 4 * minRoundSamples {
		now += 2 * long
		b.applyPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now - long}, pressure{slow: true, speed: slowResponse})
	}
	if dear.max != initialLimit {
		t.Errorf("slow cheap calls cut the worthier class to %v", dear.max)
	}
}

// TestApplyPressureIgnoresVaryingLatency varies the latency of the class of greater value, all well within the objective: nothing may be rejected for it.
func TestApplyPressureIgnoresVaryingLatency(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, h := with(t, s, 4)
	ends := map[Microseconds][]string{}
	for step := range Microseconds(2000) { // of 10 ms
		now := start + step*10_000
		for _, id := range ends[step] {
			took := now - b.requests[id].arrivedAt
			b.HandleOutcome(now, h, Outcome{ID: id, Latency: took, RequestDone: true})
		}
		if step%3 == 0 {
			id, class, steps := fmt.Sprint(step), int(step/3%2), Microseconds(10)
			if class == 1 && step%9 == 0 {
				steps = 28 // 0.28 s: the aim is 0.5 s
			}
			ask(b, h, now, id, class)
			if b.requests[id] != nil {
				ends[step+steps] = append(ends[step+steps], id)
			}
		}
	}
	if len(h.hints) > 0 {
		t.Errorf("%d of %d calls refused", len(h.hints), len(h.hints)+len(h.sends))
	}
}
