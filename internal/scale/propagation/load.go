package propagation

import (
	"time"

	"baylock/internal/emulator/registry"
)

// load is the load of the service in one phase.
type load struct {
	phase    string // empty: a phase without figures of its own
	length   time.Duration
	replicas []registry.ReplicaUsage
}

// loadMeter measures the load of the phases.
type loadMeter struct {
	phase      string
	phaseStart time.Time
	loads      []load
	traffic    []int64 // of each proxy: at the start, and in the end during all phases
}

// beginLoad begins the first phase.
func (f *fleet) beginLoad() {
	f.service.Usage() // discards the usage so far
	f.load.phaseStart = time.Now()
	for _, w := range f.watchers {
		f.load.traffic = append(f.load.traffic, w.traffic.Load())
	}
}

// nextLoad ends a phase and begins the next one.
func (f *fleet) nextLoad(phase string) {
	now := time.Now()
	f.load.loads = append(f.load.loads, load{f.load.phase, now.Sub(f.load.phaseStart), f.service.Usage()})
	f.load.phase, f.load.phaseStart = phase, now
}

// endLoad ends the last phase.
func (f *fleet) endLoad() {
	f.nextLoad("")
	for i, w := range f.watchers {
		f.load.traffic[i] = w.traffic.Load() - f.load.traffic[i]
	}
}

// replicaLoad is the load of one replica, or the highest of any replica.
type replicaLoad struct {
	calls, bytes         float64 // mean a second
	allCalls, allBytes   float64 // the same of all replicas together
	peakCalls, peakBytes int64   // in the busiest second
	rejected             int64   // by all replicas together
}

// peakLoad returns the highest figures of any replica over the given phases.
func peakLoad(loads []load) replicaLoad {
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
			out.peakCalls = max(out.peakCalls, r.PeakRequests)
			out.peakBytes = max(out.peakBytes, r.PeakBytes)
			out.rejected += r.Rejected
		}
	}
	return out
}
