package balancer

import (
	"fmt"
	"testing"
)

// TestHandleOutcomeAnswersByDeadlineAfterTimeOuts every attempt of a request times out: the client has its final answer before its deadline.
func TestHandleOutcomeAnswersByDeadlineAfterTimeOuts(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := with(t, testSettings(), 4)
		ask(b, h, start, "r", class)
		now, attempt := start, 0
		for len(h.sends) == attempt+1 { // answer every attempt with a time-out until the request is over
			now += h.sends[attempt].timeout
			b.HandleOutcome(now, h, Outcome{ID: "r", Attempt: attempt, Status: TimedOut, Latency: h.sends[attempt].timeout})
			attempt++
		}
		if l := h.last(); l != "fail r" && l != "refuse r" {
			t.Errorf("class %d: no final answer, last action %q", class, l)
		}
		if now > start+1_000_000 {
			t.Errorf("class %d: answered %d us past the client's time", class, now-start-1_000_000)
		}
	}
}

func TestHandleOutcomeIgnoresDoneRequest(t *testing.T) {
	for _, end := range []func(b *Balancer, h Host){
		func(b *Balancer, h Host) { b.CancelRequest(start+1000, h, "r") },
		func(b *Balancer, h Host) { b.ResponseStarted(start+1000, "r") },
		func(b *Balancer, h Host) {
			b.HandleOutcome(start+1000, h, Outcome{ID: "r", Status: Rejected, RequestDone: true})
		},
	} {
		b, h := with(t, testSettings(), 4)
		ask(b, h, start, "r", 0)
		before := len(h.lines)
		end(b, h)
		b.HandleOutcome(start+2000, h, Outcome{ID: "r", Status: Rejected})
		if len(h.lines) != before {
			t.Errorf("an ended request brought %q", h.lines[before:])
		}
		if len(b.requests) != 0 {
			t.Error("an ended request is kept")
		}
	}
}

// TestBalancerForgetsWhatHasEnded brings ever new request IDs, keys and endpoints, as a long day does.
func TestBalancerForgetsWhatHasEnded(t *testing.T) {
	s := testSettings()
	s.OrderedKeyCooldown = 1000
	for i := range s.Classes {
		s.Classes[i].OrderedByKey = true
	}
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 1000}}
	b, h := with(t, s, 4)
	now := start
	for i := range 30_000 {
		now += 2_000
		id := fmt.Sprint("r", i)
		if i%10 == 0 { // a server is replaced
			b.UpdateEndpoints(now, h, IncrementalUpdate, []Endpoint{{ID: fmt.Sprint("n", i), Cell: i, State: Ready, Capacity: 1, StartedAt: now},
				{ID: fmt.Sprint("n", i-100), State: Removed}})
		}
		h.sends, h.timer, h.lines, h.hints = nil, nil, nil, nil
		b.HandleRequest(now, h, Request{ID: id, Class: i % len(s.Classes), Key: fmt.Sprint("k", i), Deadline: now + 1_000_000})
		for n := 0; n < len(h.sends); n++ {
			status := OK
			if i%7 == 0 {
				status = Reset
			}
			b.HandleOutcome(now+1_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 1_000, RequestDone: status == OK})
		}
		for _, token := range h.timer {
			b.TimerFired(now+2_000, h, token)
		}
	}
	waiting := 0
	for _, c := range b.classes {
		waiting += len(c.unmarked)
	}
	if len(b.requests) > 0 || len(b.keyQueues) > 0 || len(b.endpoints.byID) > 20 || len(b.endpoints.all) > 20 || len(b.retries.requests) > 6000 ||
		len(b.retries.retries) > 6000 || waiting > 2000 {
		t.Errorf("left: %d requests, %d turns, %d and %d servers, %d taken, %d further, %d waiting", len(b.requests),
			len(b.keyQueues), len(b.endpoints.byID), len(b.endpoints.all), len(b.retries.requests), len(b.retries.retries), waiting)
	}
}
