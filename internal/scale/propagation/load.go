package propagation

import (
	"time"

	"baylock/internal/emulator/registry"
)

// load is the load of the discovery service in one phase of a scenario.
type load struct {
	phase    string // empty if the phase has no figures of its own
	length   time.Duration
	replicas []registry.ReplicaUsage
}

// loadMeter measures the load of each phase.
type loadMeter struct {
	phase      string
	phaseStart time.Time
	loads      []load
	// traffic holds the bytes on each proxy's discovery connections: those before the first phase until endLoadPhases,
	// and then those of all phases.
	traffic []int64
}

// beginLoadPhases begins the first phase.
func (f *fleet) beginLoadPhases() {
	f.registry.Usage() // discards the usage so far
	f.load.phaseStart = time.Now()
	for _, w := range f.watchers {
		f.load.traffic = append(f.load.traffic, w.traffic.Load())
	}
}

// nextLoadPhase ends the current phase and begins one with the given name.
func (f *fleet) nextLoadPhase(phase string) {
	now := time.Now()
	f.load.loads = append(f.load.loads, load{f.load.phase, now.Sub(f.load.phaseStart), f.registry.Usage()})
	f.load.phase, f.load.phaseStart = phase, now
}

// endLoadPhases ends the last phase.
func (f *fleet) endLoadPhases() {
	f.nextLoadPhase("")
	for i, w := range f.watchers {
		f.load.traffic[i] = w.traffic.Load() - f.load.traffic[i]
	}
}

// replicaLoad holds the highest value of any replica for each quantity, and some totals of all replicas.
type replicaLoad struct {
	calls, bytes         float64 // mean per second
	allCalls, allBytes   float64 // mean per second of all replicas together
	peakCalls, peakBytes int64   // in the busiest second
	rejected             int64   // by all replicas together
}

// peakLoad returns the highest values of any replica over the given phases.
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
