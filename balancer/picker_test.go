package balancer

import (
	"fmt"
	"testing"
)

func TestWeightFollowsLatencyAndFailures(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 2)
	fast, slow, class := b.endpoints.byID["s0"], b.endpoints.byID["s1"], b.classes[0]
	for range 200 {
		class.latency.record(fast, 100_000)
		class.latency.record(slow, 300_000)
	}
	before := b.weight(testStart, fast, class)
	if slowWeight := b.weight(testStart, slow, class); before < 2*slowWeight {
		t.Errorf("weights of the fast and the slow endpoint are %v and %v, want a ratio of at least 2",
			before, slowWeight)
	}
	b.outliers.record(fast, class, Error)
	if w := b.weight(testStart, fast, class); w > before/2 {
		t.Errorf("a failure that peers do not have reduces the weight to %v from %v, want at most half",
			w, before)
	}
	for range 100 {
		b.outliers.record(fast, class, Error)
	}
	if w := b.weight(testStart, fast, class); w <= 0 {
		t.Errorf("many failures reduce the weight to %v, want more than 0 so that it still gets trial calls",
			w)
	}
}

// An endpoint that fails calls immediately has none in flight, while its peers need some time for each call.
// Without effectiveInFlight it would therefore attract most calls.
func TestPickEndpointAvoidsFastFailingEndpoint(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	now, failed, sent := testStart, 0, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		sendRequest(b, h, now, id, idempotentClass)
		for n := 0; n < 4 && len(h.sends) > sent; n++ {
			latest := h.sends[len(h.sends)-1]
			if sent = len(h.sends); latest.endpoint != "s0" {
				break
			}
			failed++
			b.HandleOutcome(now+1000, h, Outcome{ID: id, Attempt: n, Status: Error, Latency: 1000})
		}
		if i < 20 {
			continue
		}
		id = fmt.Sprint(i - 20)
		if req := b.requests[id]; req != nil {
			b.HandleOutcome(now+2000, h, Outcome{ID: id, Attempt: len(req.attempts) - 1, Latency: 400_000, RequestDone: true})
		}
	}
	if failed == 0 || failed > sent/10 {
		t.Errorf("%d of %d attempts went to one failing endpoint of four, want some and at most a tenth",
			failed, sent)
	}
}

// If an endpoint that rejects calls got fewer of them, the other endpoints could become overloaded.
func TestPickEndpointKeepsRejectingEndpoint(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	now, firstAttempts := testStart, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		sendRequest(b, h, now, id, idempotentClass)
		if b.requests[id] == nil {
			continue
		}
		status := OK
		if latest := h.sends[len(h.sends)-1]; latest.endpoint == "s0" {
			if firstAttempts++; firstAttempts%2 == 0 {
				status = Rejected
			}
		}
		for n := 0; b.requests[id] != nil && n < 4; n++ {
			b.HandleOutcome(now+10_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 10_000, RequestDone: status == OK})
			status = OK
		}
	}
	if firstAttempts < 70 {
		t.Errorf("%d of 400 first attempts went to the endpoint that rejects half of them, want at least 70",
			firstAttempts)
	}
}

func TestWeightFollowsCapacityWithCapacityHints(t *testing.T) {
	for _, c := range []struct {
		hints bool
		want  float64 // ratio of the weights
	}{{true, 3}, {false, 1}} {
		t.Run(fmt.Sprint("hints ", c.hints), func(t *testing.T) {
			s := testSettings()
			s.CapacityHints = c.hints
			b, h := mustNew(t, s), &recorder{}
			list := readyEndpoints(2)
			list[1].Capacity = 3
			b.UpdateEndpoints(testStart, h, FullUpdate, list)
			small, large := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
			if got := b.weight(testStart, large, b.classes[0]) / b.weight(testStart, small, b.classes[0]); got != c.want {
				t.Errorf("ratio of the weights is %v, want %v", got, c.want)
			}
		})
	}
}
