package propagation

import (
	"testing"
	"time"

	"baylock/internal/emulator/registry"
)

func TestMostGivesTheReplicaWithTheMostOverAllPhases(t *testing.T) {
	loads := []load{
		{length: 10 * time.Second, replicas: []registry.ReplicaUsage{
			{Name: "a", Calls: 100, BytesIn: 1000, BytesOut: 9000, BusiestCalls: 20, BusiestBytes: 3000},
			{Name: "b", Calls: 300, BytesIn: 1000, BytesOut: 1000, BusiestCalls: 90, BusiestBytes: 500, Refused: 4},
		}},
		{phase: atTheReturn, length: 30 * time.Second, replicas: []registry.ReplicaUsage{
			{Name: "a", Calls: 700, BytesIn: 20000, BytesOut: 10000, BusiestCalls: 30, BusiestBytes: 2000, Refused: 1},
			{Name: "b", Calls: 100, BytesIn: 500, BytesOut: 500, BusiestCalls: 10, BusiestBytes: 4000},
		}},
	}
	want := replicaLoad{calls: 20, bytes: 1000, allCalls: 30, allBytes: 1075, busiestCalls: 90, busiestBytes: 4000,
		refused: 5}
	if got := most(loads); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
