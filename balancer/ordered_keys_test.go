package balancer

import (
	"slices"
	"testing"
)

func TestKeyQueueKeepsOrder(t *testing.T) {
	s := testSettings()
	s.Classes[2].OrderedByKey, s.OrderedKeyCooldown = true, 100_000
	b, h := with(t, s, 4)
	take := func(now Microseconds, id, key string) {
		b.HandleRequest(now, h, Request{ID: id, Class: 2, Key: key, Deadline: now + second})
	}
	sends := func() (ids []string) {
		for _, s := range h.sends {
			ids = append(ids, s.id)
		}
		return ids
	}
	take(start, "a", "k")
	take(start+1, "b", "k")
	take(start+2, "c", "k")
	take(start+3, "other", "j")
	take(start+4, "free", "")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v", got)
	}
	b.CancelRequest(start+5, h, "b")
	b.CancelRequest(start+6, h, "a") // over, but its attempt is still out
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while an attempt of the key was out", got)
	}
	b.HandleOutcome(start+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000, RequestDone: true})
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while the key rests", got)
	}
	b.TimerFired(start+101_000, h, timerToken{cooldownTimer, "k"}.String())
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v after the rest", got)
	}
	take(start+102_000, "d", "k")
	b.TimerFired(start+102_000+second-1000, h, timerToken{expiryTimer, "d"}.String())
	if h.last() != "refuse d" {
		t.Errorf("a held request's time ends with %q", h.last())
	}
	b.HandleOutcome(start+102_000, h, Outcome{ID: "c", Status: OK, Latency: 1000, RequestDone: true})
	if len(b.keyQueues) != 1 || len(b.requests) != 2 { // "other" and its key
		t.Errorf("%d keys and %d requests are kept", len(b.keyQueues), len(b.requests))
	}
}

// TestKeyQueueKeepsCooldownAcrossReconfigure shortens the cooldown: attempts that were sent before keep theirs.
func TestKeyQueueKeepsCooldownAcrossReconfigure(t *testing.T) {
	s := named(testSettings())
	s.Classes[0].OrderedByKey, s.OrderedKeyCooldown = true, 100_000
	b, h := with(t, s, 4)
	ordered := func(id string) {
		b.HandleRequest(start, h, Request{ID: id, Key: "k", Deadline: start + second})
	}
	ordered("a")
	ordered("b")
	s.OrderedKeyCooldown = 0
	mustReconfigure(t, b, s)
	b.HandleOutcome(start+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000})
	b.HandleOutcome(start+2000, h, Outcome{ID: "a", Attempt: 1, Status: Reset, Latency: 1000})
	b.HandleOutcome(start+3000, h, Outcome{ID: "a", Attempt: 2, Status: OK, Latency: 1000, RequestDone: true})
	if len(h.sends) != 3 {
		t.Fatalf("before the rest of 100 ms is over: %q", h.lines)
	}
	if b.TimerFired(start+101_000, h, timerToken{cooldownTimer, "k"}.String()); h.sends[len(h.sends)-1].id != "b" {
		t.Errorf("after it: %q", h.lines)
	}
}
