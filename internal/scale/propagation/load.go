package propagation

import (
	"time"

	"baylock/internal/emulator/registry"
)

// load is what the service bore in one phase.
type load struct {
	phase    string // empty: none that is given by itself
	length   time.Duration
	replicas []registry.ReplicaUsage
}

// loadMeter gathers the loads of the phases.
type loadMeter struct {
	phase   string
	since   time.Time
	loads   []load
	traffic []int64 // of each proxy at the beginning, and then during all phases
}

// beginLoad begins the first phase.
func (f *fleet) beginLoad() {
	f.service.Usage() // what came before is not wanted
	f.load.since = time.Now()
	for _, w := range f.watchers {
		f.load.traffic = append(f.load.traffic, w.traffic.Load())
	}
}

// nextLoad ends a phase and begins the next one.
func (f *fleet) nextLoad(phase string) {
	now := time.Now()
	f.load.loads = append(f.load.loads, load{f.load.phase, now.Sub(f.load.since), f.service.Usage()})
	f.load.phase, f.load.since = phase, now
}

// endLoad ends the last phase.
func (f *fleet) endLoad() {
	f.nextLoad("")
	for i, w := range f.watchers {
		f.load.traffic[i] = w.traffic.Load() - f.load.traffic[i]
	}
}

// replicaLoad is what one replica, or the one with the most, bore.
type replicaLoad struct {
	calls, bytes               float64 // a second, on the mean
	allCalls, allBytes         float64 // the same of all replicas together
	busiestCalls, busiestBytes int64   // in the busiest second
	refused                    int64   // by all replicas together
}

// most gives the highest figures of any replica over some phases.
func most(loads []load) replicaLoad {
	var out replicaLoad
	length := 0.0
	for _, l := range loads {
		length += l.length.Seconds()
	}
	calls, bytes := map[string]int64{}, map[string]int64{}
	for _, l := range loads {
		for _, r := range l.replicas {
			calls[r.Name] += r.Requests
			bytes[r.Name] += r.BytesIn + r.BytesOut
			out.allCalls += float64(r.Requests) / length
			out.allBytes += float64(r.BytesIn+r.BytesOut) / length
			out.calls = max(out.calls, float64(calls[r.Name])/length)
			out.bytes = max(out.bytes, float64(bytes[r.Name])/length)
			out.busiestCalls = max(out.busiestCalls, r.PeakRequests)
			out.busiestBytes = max(out.busiestBytes, r.PeakBytes)
			out.refused += r.Rejected
		}
	}
	return out
}
