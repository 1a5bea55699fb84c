package balancer

const (
	initialCrossZoneWeight = 0.3  // at a fresh replica of the front, which does not know how its zone copes
	minCrossZoneWeight     = 0.02 // while the own zone copes; at a fresh replica behind the front
	crossZoneIncrease      = 0.15 // added after a round in which the own zone was slow
	crossZoneDecay         = 0.9  // factor after a good round
)

// zonePreference keeps calls in the proxy's zone while that copes.
type zonePreference struct {
	crossZoneWeight float64 // of endpoints in other zones, from minCrossZoneWeight to 1
	evidence        evidenceRound
}

// newZonePreference returns that of a fresh replica.
func newZonePreference(tier int) zonePreference {
	if tier > 0 {
		return zonePreference{crossZoneWeight: minCrossZoneWeight}
	}
	return zonePreference{crossZoneWeight: initialCrossZoneWeight}
}

// adjust takes the sample of a call within the zone, and changes the weight by its round's signal.
func (z *zonePreference) adjust(now Microseconds, s sample) {
	switch signal, _ := z.evidence.add(now, s); signal {
	case signalPending:
	case signalHealthy:
		z.crossZoneWeight = max(minCrossZoneWeight, z.crossZoneWeight*crossZoneDecay)
	case signalFaulty, signalOverloaded:
		z.crossZoneWeight = min(1, z.crossZoneWeight+crossZoneIncrease)
	}
}
