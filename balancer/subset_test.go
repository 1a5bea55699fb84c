package balancer

import (
	"fmt"
	"testing"
)

func TestSubsetsAreSmallAndCoverAllEndpoints(t *testing.T) {
	const copies, servers = 60, 90
	users := map[string]int{}
	for i := range copies {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = copies, i
		b, h := with(t, s, servers)
		met := map[string]bool{}
		for k := range 400 {
			now := start + Microseconds(k)*50_000 // 20 a second
			ask(b, h, now, fmt.Sprint(k), 0)
			b.HandleOutcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			met[s.server] = true
		}
		if len(met) > servers/3 {
			t.Fatalf("copy %d met %d servers", i, len(met))
		}
		for s := range met {
			users[s]++
		}
	}
	if len(users) != servers {
		t.Errorf("%d of %d servers are in some subset", len(users), servers)
	}
}

func TestSubsetFollowsRequestRate(t *testing.T) {
	b, h := with(t, testSettings(), 60)
	met := map[string]int{}
	for k := range 240 {
		now := start + Microseconds(k)*second/3 // 3 a second
		ask(b, h, now, fmt.Sprint(k), 0)
		b.HandleOutcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		met[s.server]++
	}
	if len(met) > 8 || len(met) < 4 {
		t.Errorf("3 calls a second are spread over %d servers", len(met))
	}
}

func TestReconfigureMovesSubsetWithReplicaIndex(t *testing.T) {
	s := named(testSettings())
	b, _ := with(t, s, 8)
	s.ReplicaIndex = 1
	fresh, _ := with(t, s, 8)
	mustReconfigure(t, b, s)
	for i := range b.endpoints.ready {
		if b.endpoints.ready[i].ID != fresh.endpoints.ready[i].ID {
			t.Fatalf("server %d is %s, where a fresh copy has %s", i, b.endpoints.ready[i].ID, fresh.endpoints.ready[i].ID)
		}
	}
}
