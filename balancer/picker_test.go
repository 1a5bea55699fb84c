package balancer

import (
	"fmt"
	"testing"
)

func TestWeightFollowsLatencyAndFailures(t *testing.T) {
	b, _ := with(t, testSettings(), 2)
	fast, slow := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	c := b.classes[0]
	for range 200 {
		c.latency.record(fast, 100_000)
		c.latency.record(slow, 300_000)
	}
	if b.weight(start, fast, b.classes[0]) < 2*b.weight(start, slow, b.classes[0]) {
		t.Errorf("weights %v and %v", b.weight(start, fast, b.classes[0]), b.weight(start, slow, b.classes[0]))
	}
	before := b.weight(start, fast, b.classes[0])
	b.outliers.record(fast, b.classes[0], Error)
	if b.weight(start, fast, b.classes[0]) > before/2 {
		t.Error("a failure that its peer does not show left the weight")
	}
	for range 100 {
		b.outliers.record(fast, b.classes[0], Error)
	}
	if b.weight(start, fast, b.classes[0]) <= 0 {
		t.Error("no floor keeps trials going")
	}
}

// TestPickEndpointAvoidsFastFailingEndpoint has one endpoint fail at once: that it has nothing in flight must not draw calls.
func TestPickEndpointAvoidsFastFailingEndpoint(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, ill, sent := start, 0, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		ask(b, h, now, id, 0)
		for n := 0; n < 4 && len(h.sends) > sent; n++ {
			s := h.sends[len(h.sends)-1]
			if sent = len(h.sends); s.server != "s0" {
				break // its peers hold each call for a while
			}
			ill++
			b.HandleOutcome(now+1000, h, Outcome{ID: id, Attempt: n, Status: Error, Latency: 1000})
		}
		if i >= 20 {
			id := fmt.Sprint(i - 20)
			if q := b.requests[id]; q != nil {
				b.HandleOutcome(now+2000, h, Outcome{ID: id, Attempt: len(q.attempts) - 1, Latency: 400_000, RequestDone: true})
			}
		}
	}
	if ill == 0 || ill > sent/10 {
		t.Errorf("%d of %d attempts went to the failing server of four", ill, sent)
	}
}

// TestPickEndpointKeepsRejectingEndpoint has one endpoint reject every other call: without its part of the calls the others would be crowded.
func TestPickEndpointKeepsRejectingEndpoint(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, there := start, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		ask(b, h, now, id, 0)
		if b.requests[id] == nil {
			continue
		}
		status := OK
		if s := h.sends[len(h.sends)-1]; s.server == "s0" {
			if there++; there%2 == 0 {
				status = Rejected
			}
		}
		for n := 0; b.requests[id] != nil && n < 4; n++ {
			b.HandleOutcome(now+10_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 10_000, RequestDone: status == OK})
			status = OK
		}
	}
	if there < 70 {
		t.Errorf("%d of 400 requests went first to the server that is full every other time", there)
	}
}
