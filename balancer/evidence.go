package balancer

import "cmp"

const (
	minRoundSamples         = 12   // number of samples that completes a round
	minDurationObjectives   = 2    // after this many latency objectives, fewer samples complete a round
	decreaseFactor          = 0.6  // an overload reduces a limit by this times the fraction of bad samples
	minFastResponseFraction = 0.25 // if at least this fraction of a round's responses is fast,
	minFastFraction         = 0.1  // and this fraction of all its samples, calls do not queue
)

// loadSignal is the result of a round of evidence.
type loadSignal int

// The load signals.
const (
	signalPending    loadSignal = iota // too few samples so far
	signalHealthy                      // the fraction of bad calls is within the allowed one
	signalFaulty                       // more calls are bad, but others are as fast as without load
	signalOverloaded                   // more calls are bad, and hardly any is fast: they queue
)

// responseSpeed classifies how fast a response to a call was.
type responseSpeed int

// The response speeds.
const (
	noResponse   responseSpeed = iota // the call failed, possibly with an error response
	slowResponse                      // slower than the usual latency without load
	fastResponse                      // as fast as without load
)

// speedOf returns the responseSpeed of a call.
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

// indicator converts an observation to a number that can be averaged: 1 for true, 0 for false.
func indicator(observed bool) float64 {
	if observed {
		return 1
	}
	return 0
}

// sample is what an evidenceRound records about one call.
type sample struct {
	sentAt Microseconds
	bad    bool // late, slow or failed, depending on what the round is for
	speed  responseSpeed
}

// evidenceRound collects samples of calls that were sent since its last signal, and returns a signal once
// there are enough. The signal depends on the number of samples rather than on time alone, so that replicas
// with little traffic do not react to too few calls. Ignoring calls sent before the last signal makes sure
// that one overload causes one reduction only. A complete round is good if its
// signal is signalHealthy, and bad otherwise.
type evidenceRound struct {
	start              Microseconds // start of the round: calls sent earlier are ignored
	samples            int
	bad                int
	responses          int          // samples of calls that succeeded or are still outstanding
	fast               int          // responses that took no longer than the mean without load
	allowedBadFraction float64      // fraction of bad samples that a good round may have
	minDuration        Microseconds // time after which fewer than minRoundSamples complete the round
}

// add adds a sample. If the sample completes the round, add returns the round's signal and the factor by
// which an overload reduces a limit, and starts the next round. Otherwise it returns signalPending.
func (r *evidenceRound) add(now Microseconds, s sample) (loadSignal, float64) {
	if r.start = cmp.Or(r.start, s.sentAt); s.sentAt < r.start {
		return signalPending, 1
	}
	r.samples++
	r.bad += int(indicator(s.bad))
	r.responses += int(indicator(s.speed != noResponse))
	r.fast += int(indicator(s.speed == fastResponse))
	if !r.complete(now) {
		return signalPending, 1
	}
	badFraction := float64(r.bad) / float64(max(r.samples, minRoundSamples/2))
	signal := r.signal(badFraction)
	r.start, r.samples, r.bad, r.responses, r.fast = now, 0, 0, 0, 0
	return signal, 1 - decreaseFactor*badFraction
}

// complete reports whether the round has enough samples. A round completes early if it can only turn out bad.
// A round with few samples completes after minDuration, but only if it is good.
func (r *evidenceRound) complete(now Microseconds) bool {
	inconclusive := now-r.start < r.minDuration || float64(r.bad) > r.allowedBadFraction*float64(r.samples)
	return float64(r.bad) > r.allowedBadFraction*minRoundSamples ||
		r.samples >= minRoundSamples || !inconclusive
}

// signal returns the signal of a complete round.
func (r *evidenceRound) signal(badFraction float64) loadSignal {
	minFast := max(minFastResponseFraction*float64(r.responses), minFastFraction*float64(r.samples))
	switch {
	case badFraction <= r.allowedBadFraction:
		return signalHealthy
	case float64(r.fast) >= minFast:
		return signalFaulty
	default:
		return signalOverloaded
	}
}

// configure sets the fraction of bad samples that a good round may have, and the time after which few samples
// complete a round.
func (r *evidenceRound) configure(allowedBadFraction float64, minDuration Microseconds) {
	r.allowedBadFraction, r.minDuration = allowedBadFraction, minDuration
}
