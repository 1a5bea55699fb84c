package propagation

import (
	"testing"
	"time"

	"baylock/internal/emulator/registry"
)

func TestPeakLoadIsHighestOfAnyReplica(t *testing.T) {
	loads := []load{
		{length: 10 * time.Second, replicas: []registry.ReplicaUsage{
			{Name: "a", Requests: 100, BytesIn: 1000, BytesOut: 9000, PeakRequests: 20, PeakBytes: 3000},
			{Name: "b", Requests: 300, BytesIn: 1000, BytesOut: 1000, PeakRequests: 90, PeakBytes: 500, Rejected: 4},
		}},
		{phase: atRecovery, length: 30 * time.Second, replicas: []registry.ReplicaUsage{
			{Name: "a", Requests: 700, BytesIn: 20000, BytesOut: 10000, PeakRequests: 30, PeakBytes: 2000, Rejected: 1},
			{Name: "b", Requests: 100, BytesIn: 500, BytesOut: 500, PeakRequests: 10, PeakBytes: 4000},
		}},
	}
	want := replicaLoad{calls: 20, bytes: 1000, allCalls: 30, allBytes: 1075, peakCalls: 90, peakBytes: 4000,
		rejected: 5}
	if got := peakLoad(loads); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
