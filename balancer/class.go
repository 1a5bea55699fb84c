package balancer

// noSlot is the slot of a class that is no longer in the settings.
const noSlot = -1

// classState holds the measurements and the concurrency limit of a class. It is kept across changes of the
// settings for as long as they contain the class.
type classState struct {
	slot               int // index into endpoint.perClass, or noSlot
	limit              concurrencyLimit
	preemptionEvidence evidenceRound // calls of classes with clearly higher priority
	latency            latencyEstimate
	errorRate          float64    // moving average of the fraction of failed calls, over all endpoints
	notYetSlow         []*attempt // front tier only: attempts not yet counted as slow, in sending order
}

// newClassState returns the state of a class without measurements.
func newClassState(c *Class) *classState {
	state := &classState{slot: noSlot, limit: concurrencyLimit{max: initialLimit}}
	state.latency.initFromObjective(c.LatencyObjective)
	return state
}
