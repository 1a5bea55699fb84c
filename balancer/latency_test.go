package balancer

import "testing"

func TestLatencyEstimateBoundsSingleSuccess(t *testing.T) {
	ep := &endpoint{relativeLatency: 1}
	l := latencyEstimate{mean: 100_000, unloaded: 100_000, successes: 1000}
	l.record(ep, 1000*l.mean)
	if want := 1 + (maxRelativeLatency-1)*relativeLatencyGain; ep.relativeLatency != want {
		t.Errorf("relative latency %v after a success with 1000 times the mean latency, want %v",
			ep.relativeLatency, want)
	}
}

func TestLatencyEstimateLowersUnloadedLatencyAtOnce(t *testing.T) {
	l := latencyEstimate{mean: 100_000, unloaded: 100_000, successes: 1000}
	ep := &endpoint{relativeLatency: 1}
	l.record(ep, 60_000)
	if want := 100_000 - 40_000*meanLatencyGain; l.mean != want || l.unloaded != want {
		t.Errorf("mean %v and unloaded %v after a fast success, want %v", l.mean, l.unloaded, want)
	}
	before := l
	l.record(ep, 160_000)
	if l.mean <= before.mean || l.unloaded <= before.unloaded || l.unloaded-before.unloaded > 0.01*(l.mean-before.mean) {
		t.Errorf("estimate %+v became %+v after a slow success, want unloaded to rise far less than mean",
			before, l)
	}
}
