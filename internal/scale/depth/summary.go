package depth

import (
	"time"

	"baylock/internal/emulator/hollow"
)

const (
	recoveredRatio = 0.99                   // lowest fraction of calls served in time that counts as recovered
	recoveryWindow = time.Second            // time span over which recoveredRatio is measured
	recoveryStep   = 100 * time.Millisecond // between the starts of consecutive windows
)

// summary summarizes a recording for the time of the fault, or for the same time span if there is no fault.
type summary struct {
	calls                    int
	tierAttempts             []float64 // attempts at each tier per user call
	worstSecond              float64   // attempts at the deepest tier per user call, in the worst second
	amplification            float64   // attempts at the deepest tier per attempt at the first tier
	lateAmplification        float64   // amplification in the second half of the time
	classAttempts            []float64 // attempts at the deepest tier per user call, by class
	served, rejected, failed float64   // fractions of the user calls; a call served too late counts as failed

	recovered bool          // within the recorded time
	recovery  time.Duration // from the end of the fault; up to the end of the recording if not recovered

	forbiddenRuns   int64 // at all tiers, in the whole simulation
	queueRejections int64 // at all tiers, in the whole simulation
	inFlightPeak    int   // of the tier with the highest peak
}

func summarize(s size, r *recording) summary {
	from, to := s.settle, s.settle+s.fault
	sum := summary{}
	sum.countCalls(r.between(from, to))
	sum.countAttempts(r, from, to)
	sum.recovered, sum.recovery = r.recovery(to, s.end())
	for _, c := range r.counts {
		sum.forbiddenRuns += c.ForbiddenRuns
		sum.queueRejections += c.Rejected
		sum.inFlightPeak = max(sum.inFlightPeak, c.InFlightPeak)
	}
	return sum
}

func (s *summary) countCalls(calls []*userCall) {
	s.calls = len(calls)
	inTime, rejected := 0, 0
	for _, u := range calls {
		if u.inTime {
			inTime++
		} else if u.outcome == hollow.Rejected {
			rejected++
		}
	}
	total := float64(max(1, len(calls)))
	s.served = float64(inTime) / total
	s.rejected = float64(rejected) / total
	s.failed = float64(len(calls)-inTime-rejected) / total
}

func (s *summary) countAttempts(r *recording, from, to time.Duration) {
	first, last := r.sampleAt(from), r.sampleAt(to)
	calls := float64(max(1, last.calls-first.calls))
	for tier := range last.arrivalsByTier {
		s.tierAttempts = append(s.tierAttempts, float64(last.arrivalsByTier[tier]-first.arrivalsByTier[tier])/calls)
	}
	byClass := make([]int, len(classes))
	for _, u := range r.calls[first.calls:last.calls] {
		byClass[u.class]++
	}
	for class, n := range byClass {
		attempts := last.arrivalsByClass[class] - first.arrivalsByClass[class]
		s.classAttempts = append(s.classAttempts, float64(attempts)/float64(max(1, n)))
	}
	s.worstSecond = r.worstSecond(from, to)
	s.amplification = amplification(first, last)
	s.lateAmplification = amplification(r.sampleAt(from+(to-from)/2), last)
}

// amplification returns the attempts at the deepest tier per attempt at the first tier, between two samples.
func amplification(first, last sample) float64 {
	deepest := len(last.arrivalsByTier) - 1
	sent := last.arrivalsByTier[0] - first.arrivalsByTier[0]
	return float64(last.arrivalsByTier[deepest]-first.arrivalsByTier[deepest]) / float64(max(1, sent))
}

// sampleAt returns the first sample at or after a time, or the last sample if there is none.
func (r *recording) sampleAt(at time.Duration) sample {
	for _, s := range r.samples {
		if s.at >= at {
			return s
		}
	}
	return r.samples[len(r.samples)-1]
}

// worstSecond returns the highest ratio of attempts at the deepest tier to user calls between consecutive samples.
func (r *recording) worstSecond(from, to time.Duration) (worst float64) {
	for i, s := range r.samples[1:] {
		before := r.samples[i]
		if before.at < from || before.at >= to {
			continue
		}
		deepest := len(s.arrivalsByTier) - 1
		attempts := float64(s.arrivalsByTier[deepest] - before.arrivalsByTier[deepest])
		worst = max(worst, attempts/float64(max(1, s.calls-before.calls)))
	}
	return worst
}

// recovery returns how long after the end of the fault the first window begins in which at least recoveredRatio of
// the calls are served in time.
func (r *recording) recovery(faultEnd, recordingEnd time.Duration) (recovered bool, after time.Duration) {
	for from := faultEnd; from+recoveryWindow <= recordingEnd; from += recoveryStep {
		calls := r.between(from, from+recoveryWindow)
		inTime := 0
		for _, u := range calls {
			if u.inTime {
				inTime++
			}
		}
		if len(calls) > 0 && float64(inTime) >= recoveredRatio*float64(len(calls)) {
			return true, from - faultEnd
		}
	}
	return false, recordingEnd - faultEnd
}
