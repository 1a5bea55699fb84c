package balancer

import (
	"fmt"
	"testing"
)

// If every attempt times out, the client must still get its final answer before its deadline.
func TestHandleOutcomeAnswersByDeadlineAfterTimeouts(t *testing.T) {
	for class := range testSettings().Classes {
		t.Run(fmt.Sprint("class", class), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			sendRequest(b, h, testStart, "r", class)
			now, attempt := testStart, 0
			for len(h.sends) == attempt+1 {
				timeout := h.sends[attempt].timeout
				now += timeout
				b.HandleOutcome(now, h, Outcome{ID: "r", Attempt: attempt, Status: TimedOut, Latency: timeout})
				attempt++
			}
			if last := h.last(); last != "fail r" && last != "reject r" {
				t.Errorf("no final answer, last action %q", last)
			}
			if now > testStart+second {
				t.Errorf("answered %d us past the deadline", now-testStart-second)
			}
		})
	}
}

func TestHandleOutcomeIgnoresDoneRequest(t *testing.T) {
	for name, end := range map[string]func(b *Balancer, h Host){
		"cancelled":        func(b *Balancer, h Host) { b.CancelRequest(testStart+1000, h, "r") },
		"response started": func(b *Balancer, h Host) { b.ResponseStarted(testStart+1000, "r") },
		"request done": func(b *Balancer, h Host) {
			b.HandleOutcome(testStart+1000, h, Outcome{ID: "r", Status: Rejected, RequestDone: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			sendRequest(b, h, testStart, "r", idempotentClass)
			before := len(h.actions)
			end(b, h)
			b.HandleOutcome(testStart+2000, h, Outcome{ID: "r", Status: Rejected})
			if len(h.actions) != before {
				t.Errorf("actions after the request's end: %q", h.actions[before:])
			}
			if len(b.requests) != 0 {
				t.Error("the request is kept after its end")
			}
		})
	}
}

// A long run with ever new request IDs, keys and endpoints must not accumulate state.
func TestBalancerDoesNotAccumulateState(t *testing.T) {
	s := testSettings()
	s.OrderedKeyCooldown = 1000
	for i := range s.Classes {
		s.Classes[i].OrderedByKey = true
	}
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 1000}}
	b, h := newWithEndpoints(t, s, 4)
	now := testStart
	for i := range 30_000 {
		now += 2_000
		id := fmt.Sprint("r", i)
		if i%10 == 0 { // replace an endpoint
			b.UpdateEndpoints(now, h, IncrementalUpdate, []Endpoint{
				{ID: fmt.Sprint("n", i), Cell: i, State: Ready, Capacity: 1, StartedAt: now},
				{ID: fmt.Sprint("n", i-100), State: Removed},
			})
		}
		h.sends, h.timerTokens, h.actions, h.retryAfters = nil, nil, nil, nil
		b.HandleRequest(now, h, Request{ID: id, Class: i % len(s.Classes), Key: fmt.Sprint("k", i), Deadline: now + second})
		for n := 0; n < len(h.sends); n++ {
			status := OK
			if i%7 == 0 {
				status = Reset
			}
			b.HandleOutcome(now+1_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 1_000, RequestDone: status == OK})
		}
		for _, token := range h.timerTokens {
			b.TimerFired(now+2_000, h, token)
		}
	}
	keptAttempts := 0
	for _, class := range b.classes {
		keptAttempts += len(class.notYetSlow)
	}
	for _, c := range []struct {
		what      string
		got, most int
	}{
		{"requests", len(b.requests), 0},
		{"key queues", len(b.keyQueues), 0},
		{"endpoints by ID", len(b.endpoints.byID), 20},
		{"endpoints", len(b.endpoints.all), 20},
		{"times of requests", len(b.retries.requests), 6000},
		{"times of retries", len(b.retries.retries), 6000},
		{"attempts not yet slow", keptAttempts, 2000},
	} {
		if c.got > c.most {
			t.Errorf("%d %s are kept, want at most %d", c.got, c.what, c.most)
		}
	}
}

func TestHandleRequestIgnoresKnownID(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	sendRequest(b, h, testStart, "r", idempotentClass)
	sendRequest(b, h, testStart+1, "r", idempotentClass)
	if len(h.sends) != 1 || len(h.actions) != 1 {
		t.Errorf("actions %q, want one send", h.actions)
	}
}

func TestHandleRequestFailsUnknownClass(t *testing.T) {
	for _, class := range []int{-1, len(testSettings().Classes)} {
		t.Run(fmt.Sprint("class ", class), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			sendRequest(b, h, testStart, "r", class)
			if len(h.actions) != 1 || h.last() != "fail r" || len(b.requests) != 0 {
				t.Errorf("actions %q, %d requests kept, want a failure and none", h.actions, len(b.requests))
			}
		})
	}
}

func TestHandleOutcomeIgnoresUnknownAttempt(t *testing.T) {
	for _, number := range []int{-1, 1} {
		t.Run(fmt.Sprint("attempt ", number), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			sendRequest(b, h, testStart, "r", idempotentClass)
			b.HandleOutcome(testStart+1000, h, Outcome{ID: "r", Attempt: number, Status: Error, Latency: 1000})
			if len(h.actions) != 1 || b.tierLimit.inFlight != 1 {
				t.Errorf("actions %q, %d in flight, want the send alone and 1", h.actions, b.tierLimit.inFlight)
			}
		})
	}
}
