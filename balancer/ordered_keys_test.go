package balancer

import (
	"slices"
	"testing"
)

// sentIDs returns the IDs of the requests that were sent, in order.
func (r *recorder) sentIDs() []string {
	var ids []string
	for _, s := range r.sends {
		ids = append(ids, s.id)
	}
	return ids
}

func TestKeyQueueKeepsOrder(t *testing.T) {
	s := testSettings()
	s.Classes[notIdempotentClass].OrderedByKey, s.OrderedKeyCooldown = true, 100_000
	b, h := newWithEndpoints(t, s, 4)
	handle := func(now Microseconds, id, key string) {
		b.HandleRequest(now, h, Request{ID: id, Class: notIdempotentClass, Key: key, Deadline: now + second})
	}
	handle(testStart, "a", "k")
	handle(testStart+1, "b", "k")
	handle(testStart+2, "c", "k")
	handle(testStart+3, "other", "j")
	handle(testStart+4, "free", "")
	if got := h.sentIDs(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v before any attempt ended", got)
	}
	b.CancelRequest(testStart+5, h, "b")
	b.CancelRequest(testStart+6, h, "a") // done, but its attempt is still outstanding
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v while an attempt with the key was outstanding", got)
	}
	b.HandleOutcome(testStart+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000, RequestDone: true})
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v during the key's cooldown", got)
	}
	b.TimerFired(testStart+101_000, h, timerToken{cooldownTimer, "k"}.String())
	if got := h.sentIDs(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v after the cooldown", got)
	}
	handle(testStart+102_000, "d", "k")
	b.TimerFired(testStart+102_000+second-1000, h, timerToken{expiryTimer, "d"}.String())
	if h.last() != "reject d" {
		t.Errorf("got %q when a waiting request expired", h.last())
	}
	succeed(b, h, testStart+102_000, "c", 1000)
	if len(b.keyQueues) != 1 || len(b.requests) != 2 { // those of "other" and "free"
		t.Errorf("%d keys and %d requests are kept, want 1 and 2", len(b.keyQueues), len(b.requests))
	}
}

// Attempts sent before Reconfigure shortened the cooldown keep the longer one.
func TestKeyQueueKeepsCooldownAcrossReconfigure(t *testing.T) {
	s := named(testSettings())
	s.Classes[idempotentClass].OrderedByKey, s.OrderedKeyCooldown = true, 100_000
	b, h := newWithEndpoints(t, s, 4)
	for _, id := range []string{"a", "b"} {
		b.HandleRequest(testStart, h, Request{ID: id, Key: "k", Deadline: testStart + second})
	}
	s.OrderedKeyCooldown = 0
	mustReconfigure(t, b, s)
	b.HandleOutcome(testStart+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000})
	b.HandleOutcome(testStart+2000, h, Outcome{ID: "a", Attempt: 1, Status: Reset, Latency: 1000})
	b.HandleOutcome(testStart+3000, h, Outcome{ID: "a", Attempt: 2, Status: OK, Latency: 1000, RequestDone: true})
	if len(h.sends) != 3 {
		t.Fatalf("actions before the end of the cooldown of 100 ms: %q", h.actions)
	}
	b.TimerFired(testStart+101_000, h, timerToken{cooldownTimer, "k"}.String())
	if got := h.sentIDs(); got[len(got)-1] != "b" {
		t.Errorf("actions after the cooldown: %q, want the second request sent", h.actions)
	}
}
