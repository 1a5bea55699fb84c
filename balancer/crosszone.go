package balancer

const (
	initialCrossZoneWeight = 0.3  // initial weight at the front tier, as it is unknown if the own zone copes
	minCrossZoneWeight     = 0.02 // bound while the own zone copes; also initial weight behind the front tier
	crossZoneIncrease      = 0.15 // added after a round in which the own zone was slow or failing
	crossZoneDecay         = 0.9  // multiplier after a healthy round
)

// zonePreference keeps calls in the proxy's own zone while that zone copes with its load.
type zonePreference struct {
	crossZoneWeight float64 // weight factor of endpoints in other zones, from minCrossZoneWeight to 1
	evidence        evidenceRound
}

// newZonePreference returns the initial zone preference of a proxy in the given tier.
func newZonePreference(tier int) zonePreference {
	if tier > 0 {
		return zonePreference{crossZoneWeight: minCrossZoneWeight}
	}
	return zonePreference{crossZoneWeight: initialCrossZoneWeight}
}

// adjust adds the sample of a call within the proxy's own zone, and changes the weight when that completes a
// round.
func (z *zonePreference) adjust(now Microseconds, s sample) {
	switch signal, _ := z.evidence.add(now, s); signal {
	case signalPending:
	case signalHealthy:
		z.crossZoneWeight = max(minCrossZoneWeight, z.crossZoneWeight*crossZoneDecay)
	case signalFaulty, signalOverloaded:
		z.crossZoneWeight = min(1, z.crossZoneWeight+crossZoneIncrease)
	}
}
