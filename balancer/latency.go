package balancer

const (
	initialMeanObjectives = 0.25  // a fresh replica's guess at the mean latency, in latency objectives
	initialMeanSamples    = 4.0   // successes that the guess counts as
	meanLatencyGain       = 0.05  // of the running mean
	unloadedLatencyGain   = 0.001 // of the latency without load, upwards; it follows downwards at once
	relativeLatencyGain   = 0.1   // of an endpoint's latency relative to the mean
	maxRelativeLatency    = 5.0   // a single success counts as no more than this
)

// latencyEstimate is what is known of the latencies of a class's successes, in microseconds.
type latencyEstimate struct {
	mean      float64
	unloaded  float64 // the mean while little waits
	successes float64
}

// guess sets the estimate of a class that nothing is known of.
func (l *latencyEstimate) guess(objective Microseconds) {
	l.mean = initialMeanObjectives * float64(objective)
	l.unloaded = l.mean
}

// record takes the latency of a success at an endpoint, for the class and for the endpoint. The endpoint's
// latency relative to the class's mean is averaged, not summed up: otherwise all calls would end at one
// endpoint wherever load does not slow it down.
func (l *latencyEstimate) record(ep *endpoint, latency float64) {
	ratio := min(latency/max(l.mean, 1), maxRelativeLatency)
	ep.relativeLatency += (ratio - ep.relativeLatency) * relativeLatencyGain
	l.successes++
	l.mean += (latency - l.mean) * l.gain(meanLatencyGain)
	l.unloaded = min(l.mean, l.unloaded+(l.mean-l.unloaded)*l.gain(unloadedLatencyGain))
}

// gain is the gain of a running mean: that of a plain mean over the successes, until it falls to least.
func (l *latencyEstimate) gain(least float64) float64 {
	return max(least, 1/(initialMeanSamples+l.successes))
}
