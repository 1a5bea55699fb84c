package balancer

const (
	initialLimit          = 1e6 // before the first round, so that a fresh replica rejects nothing
	minLimit              = 0.3 // some calls must go on to bring evidence
	innerMinLimit         = 8.0 // the same behind the front, where rejecting wastes work already done
	maxBadFraction        = 0.4 // a larger fraction of late or failed calls is a bad round
	innerMaxBadFraction   = 0.7 // the same behind the front
	limitIncrease         = 1.0 // calls added after a good round
	relativeLimitIncrease = 0.2 // but no more than this fraction of the limit
	limitHeadroomFactor   = 1.5 // a good round leaves a limit of at most this times the peak in flight
	limitHeadroom         = 4.0 // and this many calls: an unused limit guards from no burst
)

// concurrencyLimit is a rule of thread grade: it limits the calls in flight, and learns the limit.
type concurrencyLimit struct {
	inFlight int
	peak     int     // of inFlight since the last change of max
	max      float64 // calls in flight
	floor    float64 // max never falls below this
	evidence evidenceRound
}

// acquire counts a call as in flight.
func (l *concurrencyLimit) acquire() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// release ends what acquire began.
func (l *concurrencyLimit) release() { l.inFlight-- }

// admits reports whether the limit allows one call more. The limit's fraction is the chance of one call more,
// u being uniform in [0, 1): at a replica with few calls in flight whole numbers are too coarse.
func (l *concurrencyLimit) admits(u float64) bool { return float64(l.inFlight)+1 <= l.max+u }

// adjust takes the sample of a call into a round of evidence, and changes the limit by the round's signal.
func (l *concurrencyLimit) adjust(evidence *evidenceRound, now Microseconds, s sample) {
	switch signal, factor := evidence.add(now, s); signal {
	case signalPending:
		return
	case signalOverloaded:
		l.max = max(l.floor, min(l.max, float64(l.peak))*factor)
	default: // sending less does not repair a fault
		used := max(l.floor, limitHeadroomFactor*float64(l.peak)+limitHeadroom)
		l.max = min(l.max+min(limitIncrease, relativeLimitIncrease*l.max), used)
	}
	l.peak = l.inFlight
}
