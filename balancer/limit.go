package balancer

const (
	initialLimit          = 1e6 // until the first round completes, so that a new replica rejects nothing
	minLimit              = 0.3 // lower bound at the front tier: calls must be sent to produce new evidence
	innerMinLimit         = 8.0 // lower bound behind the front tier, where rejecting wastes work already done
	maxBadFraction        = 0.4 // at the front tier, at most this fraction of a good round is late or fails
	innerMaxBadFraction   = 0.7 // behind the front tier, at most this fraction of it is late or fails
	limitIncrease         = 1.0 // number of calls added to the limit after a round without overload
	relativeLimitIncrease = 0.2 // upper bound of this increase, as a fraction of the limit

	// After a round without overload, the limit is at most limitHeadroomFactor times the peak of the calls in
	// flight, plus limitHeadroom calls: a limit far above the usage does not protect from bursts.
	limitHeadroomFactor = 1.5
	limitHeadroom       = 4.0
)

// concurrencyLimit limits the calls in flight (a rule of thread grade, in Sentinel's terms). It adapts the
// limit to the results of calls.
type concurrencyLimit struct {
	inFlight int
	peak     int     // maximum of inFlight since the last change of max
	max      float64 // maximum number of calls in flight
	floor    float64 // lower bound of max
	evidence evidenceRound
}

// acquire counts a call as in flight.
func (l *concurrencyLimit) acquire() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// release removes a call that acquire counted.
func (l *concurrencyLimit) release() { l.inFlight-- }

// admits reports whether the limit admits one more call. The fractional part of the limit is the probability
// that one more call is admitted, since whole numbers are too coarse for a replica with few calls in flight.
// u must be uniform in [0, 1).
func (l *concurrencyLimit) admits(u float64) bool { return float64(l.inFlight)+1 <= l.max+u }

// adjust adds the sample of a call to a round of evidence. When this completes the round, adjust changes the
// limit according to the round's signal.
func (l *concurrencyLimit) adjust(evidence *evidenceRound, now Microseconds, s sample) {
	switch signal, factor := evidence.add(now, s); signal {
	case signalPending:
		return
	case signalOverloaded:
		l.max = max(l.floor, min(l.max, float64(l.peak))*factor)
	default: // healthy, or faulty: sending fewer calls does not repair a fault
		used := max(l.floor, limitHeadroomFactor*float64(l.peak)+limitHeadroom)
		l.max = min(l.max+min(limitIncrease, relativeLimitIncrease*l.max), used)
	}
	l.peak = l.inFlight
}
