package balancer

import (
	"fmt"
	"testing"
)

func TestUpdateEndpointsTakesDrainingAndRemovedOutOfUse(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b, h := with(t, testSettings(), 4)
		list := fleet(4)
		list[0].State, list[1].State = state, state
		b.UpdateEndpoints(start, h, IncrementalUpdate, list[:2])
		for i := range 300 {
			ask(b, h, start+Microseconds(i), fmt.Sprint(i), 0)
			b.HandleOutcome(start+Microseconds(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			if s.server == "s0" || s.server == "s1" {
				t.Fatalf("state %d: sent to %s", state, s.server)
			}
		}
		if len(h.sends) < 100 {
			t.Fatalf("only %d sends", len(h.sends))
		}
	}
}

func TestUpdateEndpointsRemovesEndpointMissingFromFullUpdate(t *testing.T) {
	b, h := with(t, testSettings(), 2)
	b.UpdateEndpoints(start, h, FullUpdate, fleet(1))
	for i := range 50 {
		ask(b, h, start+Microseconds(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+Microseconds(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server != "s0" {
			t.Fatalf("sent to %s", s.server)
		}
	}
}

func TestHandleRequestRejectsWithoutReadyEndpoint(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	ask(b, h, start, "a", 2)
	if h.last() != "refuse a" {
		t.Errorf("with no list: %q", h.last())
	}
	list := fleet(1)
	list[0].State = Draining
	b.UpdateEndpoints(start, h, FullUpdate, list)
	ask(b, h, start, "b", 0)
	if h.last() != "refuse b" {
		t.Errorf("with all draining: %q", h.last())
	}
}

// drawn sends n requests, each answered at once, and counts what each server got.
func drawn(b *Balancer, now Microseconds, n int) map[string]int {
	h, got := &recorder{}, map[string]int{}
	for i := range n {
		id := fmt.Sprint(now, "-", i)
		ask(b, h, now, id, 0)
		if len(h.sends) == i+1 {
			got[h.sends[i].server]++
			b.HandleOutcome(now+1000, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
		}
	}
	return got
}

func TestDetachOutlastsUpdates(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	if got := drawn(b, start, 400); got["s1"] == 0 {
		t.Fatalf("not in use to begin with: %v", got)
	}
	b.Detach("s1")
	b.Detach("s1")
	moved := fleet(4)[1]
	moved.StartedAt = start
	for name, news := range map[string]func(){
		"nothing":    func() {},
		"a change":   func() { b.UpdateEndpoints(start, h, IncrementalUpdate, []Endpoint{moved}) },
		"a snapshot": func() { b.UpdateEndpoints(start, h, FullUpdate, fleet(4)) },
		"gone and back": func() {
			b.UpdateEndpoints(start, h, FullUpdate, fleet(1))
			b.UpdateEndpoints(start, h, FullUpdate, fleet(4))
		},
	} {
		if news(); drawn(b, start, 400)["s1"] != 0 {
			t.Errorf("after %s it got something", name)
		}
	}
	b.Attach(start, "s1")
	if got := drawn(b, start, 4000); got["s1"] == 0 {
		t.Errorf("after one call back it got nothing: %v", got)
	}
}

func TestDetachAppliesToUnlistedEndpoint(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	b.Detach("s1")
	b.UpdateEndpoints(start, h, FullUpdate, fleet(2))
	if got := drawn(b, start, 100); got["s1"] != 0 || got["s0"] != 100 {
		t.Errorf("got %v", got)
	}
	b.Attach(start, "s1")
	b.Attach(start, "nobody")
}
