package balancer

import "cmp"

const (
	minRoundSamples       = 12   // samples that complete a round
	roundObjectives       = 2    // latency objectives after which a round of fewer samples is complete
	decreaseFactor        = 0.6  // an overloaded round cuts by this times its bad fraction
	minFastAnswerFraction = 0.25 // of a round's answers: with so many fast ones no queue stands
	minFastFraction       = 0.1  // the same of all its samples
)

// loadSignal is what a round of evidence shows.
type loadSignal int

// The load signals.
const (
	signalPending    loadSignal = iota // too little evidence yet
	signalHealthy                      // most calls end well and in time
	signalFaulty                       // many are late or fail, beside answers as fast as without load
	signalOverloaded                   // many are late or fail, and hardly any is fast: they queue
)

// responseSpeed is how fast a call was answered.
type responseSpeed int

// The response speeds.
const (
	noResponse   responseSpeed = iota // the call failed
	slowResponse                      // slower than the usual call without load
	fastResponse
)

// speedOf classifies a call.
func speedOf(failed, fast bool) responseSpeed {
	switch {
	case failed:
		return noResponse
	case fast:
		return fastResponse
	default:
		return slowResponse
	}
}

// indicator is one observation of a running fraction: 1 if true, else 0.
func indicator(observed bool) float64 {
	if observed {
		return 1
	}
	return 0
}

// sample is what one call shows.
type sample struct {
	sentAt Microseconds
	bad    bool // late, slow or failed, as the round's purpose has it
	speed  responseSpeed
}

// evidenceRound gathers samples of calls sent since its last signal, and gives a signal once they are
// enough. Replicas with little traffic thus learn from evidence, and one overload causes one cut.
type evidenceRound struct {
	start       Microseconds // when it began: calls sent earlier are left out
	samples     int
	bad         int
	answered    int // samples with an answer, and calls that are outstanding
	fast        int // answers that took no longer than the usual one without load
	allowedBad  float64
	minDuration Microseconds // after this long fewer than minRoundSamples complete the round
}

// add takes a sample. Once the round is complete it returns its signal, and the factor by which
// an overload cuts; until then signalPending.
func (r *evidenceRound) add(now Microseconds, s sample) (loadSignal, float64) {
	if r.start = cmp.Or(r.start, s.sentAt); s.sentAt < r.start {
		return signalPending, 1
	}
	r.samples++
	r.bad += int(indicator(s.bad))
	r.answered += int(indicator(s.speed != noResponse))
	r.fast += int(indicator(s.speed == fastResponse))
	if !r.complete(now) {
		return signalPending, 1
	}
	badFraction := float64(r.bad) / float64(max(r.samples, minRoundSamples/2))
	signal := r.signal(badFraction)
	r.start, r.samples, r.bad, r.answered, r.fast = now, 0, 0, 0, 0
	return signal, 1 - decreaseFactor*badFraction
}

// complete reports whether the samples are enough. A round that can only turn out bad is complete early, and
// one of few samples completes by time only when it is good.
func (r *evidenceRound) complete(now Microseconds) bool {
	tooShort := now-r.start < r.minDuration || float64(r.bad) > r.allowedBad*float64(r.samples)
	return float64(r.bad) > r.allowedBad*minRoundSamples || r.samples >= minRoundSamples || !tooShort
}

// signal returns what a complete round shows.
func (r *evidenceRound) signal(badFraction float64) loadSignal {
	minFast := max(minFastAnswerFraction*float64(r.answered), minFastFraction*float64(r.samples))
	switch {
	case badFraction <= r.allowedBad:
		return signalHealthy
	case float64(r.fast) >= minFast:
		return signalFaulty
	default:
		return signalOverloaded
	}
}

// configure sets what makes a round bad, and after what time few samples complete it.
func (r *evidenceRound) configure(allowedBad float64, minDuration Microseconds) {
	r.allowedBad, r.minDuration = allowedBad, minDuration
}
