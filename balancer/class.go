package balancer

// noSlot is the slot of a class that the settings no longer have.
const noSlot = -1

// classState is what was learned of a class. It outlives a change of the settings that keeps the class.
type classState struct {
	slot               int // index into endpoint.perClass, or noSlot
	limit              concurrencyLimit
	preemptionEvidence evidenceRound // of calls of classes with clearly greater priority
	latency            latencyEstimate
	errorRate          float64    // running fraction of failed calls, over all endpoints
	notYetSlow         []*attempt // at the front tier: in order of sending, those not yet counted as slow
}

// newClassState returns the state of a class that nothing is known of.
func newClassState(c *Class) *classState {
	state := &classState{slot: noSlot, limit: concurrencyLimit{max: initialLimit}}
	state.latency.guess(c.LatencyObjective)
	return state
}
