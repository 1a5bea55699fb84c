package balancer

import (
	"fmt"
	"testing"
)

// usedEndpoints sends requests that all succeed, and returns the set of endpoints that they were sent to.
func usedEndpoints(b *Balancer, h *recorder, requests int, arrival func(i int) Microseconds, latency Microseconds) map[string]bool {
	for i := range requests {
		now, id := testStart+arrival(i), fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, latency)
	}
	used := map[string]bool{}
	for _, s := range h.sends {
		used[s.endpoint] = true
	}
	return used
}

func TestSubsetsAreSmallAndCoverAllEndpoints(t *testing.T) {
	const replicas, endpoints = 60, 90
	covered := map[string]bool{}
	for i := range replicas {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = replicas, i
		b, h := newWithEndpoints(t, s, endpoints)
		at20PerSecond := func(i int) Microseconds { return Microseconds(i) * second / 20 }
		used := usedEndpoints(b, h, 400, at20PerSecond, 1000)
		if len(used) > endpoints/3 {
			t.Fatalf("replica %d used %d endpoints, want at most a third of all", i, len(used))
		}
		for id := range used {
			covered[id] = true
		}
	}
	if len(covered) != endpoints {
		t.Errorf("%d of %d endpoints are in the subset of a replica, want all", len(covered), endpoints)
	}
}

// A replica with little traffic must send each of its endpoints enough calls to measure it.
func TestSubsetFollowsRequestRate(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 60)
	at3PerSecond := func(i int) Microseconds { return Microseconds(i) * second / 3 }
	if used := usedEndpoints(b, h, 240, at3PerSecond, 300_000); len(used) > 8 || len(used) < 4 {
		t.Errorf("3 requests per second used %d endpoints, want 4 to 8", len(used))
	}
}

func TestReconfigureMovesSubsetWithReplicaIndex(t *testing.T) {
	s := named(testSettings())
	b, _ := newWithEndpoints(t, s, 8)
	s.ReplicaIndex = 1
	fresh, _ := newWithEndpoints(t, s, 8)
	mustReconfigure(t, b, s)
	for i, ep := range b.endpoints.ready {
		if want := fresh.endpoints.ready[i].ID; ep.ID != want {
			t.Fatalf("endpoint %d is %s, want %s as in a new Balancer", i, ep.ID, want)
		}
	}
}
