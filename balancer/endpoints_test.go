package balancer

import (
	"fmt"
	"testing"
)

func TestUpdateEndpointsTakesEndpointOutOfUse(t *testing.T) {
	for name, state := range map[string]EndpointState{"draining": Draining, "removed": Removed} {
		t.Run(name, func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			list := readyEndpoints(4)
			list[0].State, list[1].State = state, state
			b.UpdateEndpoints(testStart, h, IncrementalUpdate, list[:2])
			for i := range 300 {
				now, id := testStart+Microseconds(i), fmt.Sprint(i)
				sendRequest(b, h, now, id, idempotentClass)
				succeed(b, h, now, id, 1000)
			}
			for _, s := range h.sends {
				if s.endpoint == "s0" || s.endpoint == "s1" {
					t.Fatalf("sent to %s", s.endpoint)
				}
			}
			if len(h.sends) < 100 {
				t.Fatalf("%d sends, want at least 100", len(h.sends))
			}
		})
	}
}

func TestUpdateEndpointsRemovesEndpointMissingFromFullUpdate(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 2)
	b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(1))
	for i := range 50 {
		now, id := testStart+Microseconds(i), fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, 1000)
	}
	for _, s := range h.sends {
		if s.endpoint != "s0" {
			t.Fatalf("sent to %s", s.endpoint)
		}
	}
}

func TestHandleRequestRejectsWithoutReadyEndpoint(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	sendRequest(b, h, testStart, "a", notIdempotentClass)
	if h.last() != "reject a" {
		t.Errorf("without an endpoint list: last action %q, want a rejection", h.last())
	}
	list := readyEndpoints(1)
	list[0].State = Draining
	b.UpdateEndpoints(testStart, h, FullUpdate, list)
	sendRequest(b, h, testStart, "b", idempotentClass)
	if h.last() != "reject b" {
		t.Errorf("with all endpoints draining: last action %q, want a rejection", h.last())
	}
}

func TestDetachSurvivesUpdates(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	if counts := countSends(b, testStart, 400); counts["s1"] == 0 {
		t.Fatalf("no attempts were sent to s1 before Detach: %v", counts)
	}
	b.Detach("s1")
	b.Detach("s1")
	restarted := readyEndpoints(4)[1]
	restarted.StartedAt = testStart
	for name, update := range map[string]func(){
		"no update":          func() {},
		"incremental update": func() { b.UpdateEndpoints(testStart, h, IncrementalUpdate, []Endpoint{restarted}) },
		"full update":        func() { b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(4)) },
		"removed and listed again": func() {
			b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(1))
			b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(4))
		},
	} {
		t.Run(name, func(t *testing.T) {
			update()
			if n := countSends(b, testStart, 400)["s1"]; n != 0 {
				t.Errorf("%d attempts were sent to the detached endpoint, want 0", n)
			}
		})
	}
	b.Attach(testStart, "s1")
	if counts := countSends(b, testStart, 4000); counts["s1"] == 0 {
		t.Errorf("no attempts were sent to s1 after Attach: %v", counts)
	}
}

func TestDetachAppliesToUnlistedEndpoint(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	b.Detach("s1")
	b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(2))
	if counts := countSends(b, testStart, 100); counts["s1"] != 0 || counts["s0"] != 100 {
		t.Errorf("attempts by endpoint: %v, want 100 at s0 only", counts)
	}
	b.Attach(testStart, "s1")
	b.Attach(testStart, "unknown")
}
