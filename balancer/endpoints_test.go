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
				t.Fatalf("only %d sends", len(h.sends))
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
		t.Errorf("without a list: %q", h.last())
	}
	list := readyEndpoints(1)
	list[0].State = Draining
	b.UpdateEndpoints(testStart, h, FullUpdate, list)
	sendRequest(b, h, testStart, "b", idempotentClass)
	if h.last() != "reject b" {
		t.Errorf("with all endpoints draining: %q", h.last())
	}
}

func TestDetachOutlastsUpdates(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	if counts := countSends(b, testStart, 400); counts["s1"] == 0 {
		t.Fatalf("not in use before Detach: %v", counts)
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
				t.Errorf("%d attempts at the detached endpoint", n)
			}
		})
	}
	b.Attach(testStart, "s1")
	if counts := countSends(b, testStart, 4000); counts["s1"] == 0 {
		t.Errorf("no attempt after Attach: %v", counts)
	}
}

func TestDetachAppliesToUnlistedEndpoint(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	b.Detach("s1")
	b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(2))
	if counts := countSends(b, testStart, 100); counts["s1"] != 0 || counts["s0"] != 100 {
		t.Errorf("attempts: %v, want all 100 at s0", counts)
	}
	b.Attach(testStart, "s1")
	b.Attach(testStart, "unknown")
}
