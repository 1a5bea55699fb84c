package balancer

const (
	initialMeanFraction = 0.25  // initial estimate of the mean, as a fraction of the latency objective
	initialMeanSamples  = 4.0   // number of successes that the initial estimate counts as
	meanLatencyGain     = 0.05  // gain of the mean latency
	unloadedLatencyGain = 0.001 // gain with which the latency without load rises; it falls at once
	relativeLatencyGain = 0.1   // gain of an endpoint's latency relative to the mean
	maxRelativeLatency  = 5.0   // upper bound of the relative latency of a single success
)

// latencyEstimate holds moving averages of the latency of a class's successful calls, in microseconds.
type latencyEstimate struct {
	mean      float64
	unloaded  float64 // estimated mean without load
	successes float64
}

// initFromObjective sets the initial estimate of a class without measurements.
func (l *latencyEstimate) initFromObjective(objective Microseconds) {
	l.mean = initialMeanFraction * float64(objective)
	l.unloaded = l.mean
}

// record adds the latency of a successful call to the estimates of the class and of the endpoint. The
// endpoint's latency relative to the class's mean is averaged rather than summed up: with a sum, a single
// endpoint would get all calls wherever load does not slow that endpoint down.
func (l *latencyEstimate) record(ep *endpoint, latency float64) {
	ratio := min(latency/max(l.mean, 1), maxRelativeLatency)
	ep.relativeLatency += (ratio - ep.relativeLatency) * relativeLatencyGain
	l.successes++
	l.mean += (latency - l.mean) * l.gain(meanLatencyGain)
	l.unloaded = min(l.mean, l.unloaded+(l.mean-l.unloaded)*l.gain(unloadedLatencyGain))
}

// gain returns the gain of a moving average: that of an arithmetic mean over the successes so far, but no
// less than minGain.
func (l *latencyEstimate) gain(minGain float64) float64 {
	return max(minGain, 1/(initialMeanSamples+l.successes))
}
