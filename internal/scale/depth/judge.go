package depth

import (
	"time"

	"baylock/internal/emulator/hollow"
)

const (
	recoveredPart  = 0.99                   // of users' calls answered in time, and a service counts as well again
	recoveryWindow = time.Second            // of calls that show it
	recoveryStep   = 100 * time.Millisecond // from one window to the next
)

// summary is what a record says of the time of the trouble, or of the same time without any.
type summary struct {
	calls                    int
	perTier                  []float64 // attempts at each tier for each call of a user
	worstSecond              float64   // the same at the deepest tier, in the second in which it was highest
	growth                   float64   // attempts at the deepest tier for each attempt at the first
	lateGrowth               float64   // the same in the second half of the time
	perClass                 []float64 // attempts at the deepest tier for each call of a class
	answered, refused, fails float64   // parts of users' calls: in time; what was served too late fails

	recovered bool          // within the time that was watched
	recovery  time.Duration // from the end of the trouble, or the time that was watched

	forbiddenRuns int64 // at all tiers, in the whole play
	turnedAway    int64 // by full queues
	inFlightPeak  int   // at the tier where it was highest
}

func summarize(s size, r *record) summary {
	from, to := s.settle, s.settle+s.trouble
	sum := summary{}
	sum.countCalls(r.between(from, to))
	sum.countAttempts(r, from, to)
	sum.recovered, sum.recovery = r.recovery(to, s.end())
	for _, c := range r.counts {
		sum.forbiddenRuns += c.ForbiddenRuns
		sum.turnedAway += c.Rejected
		sum.inFlightPeak = max(sum.inFlightPeak, c.InFlightPeak)
	}
	return sum
}

func (s *summary) countCalls(calls []*userCall) {
	s.calls = len(calls)
	inTime, refused := 0, 0
	for _, u := range calls {
		if u.inTime {
			inTime++
		} else if u.outcome == hollow.Rejected {
			refused++
		}
	}
	whole := float64(max(1, len(calls)))
	s.answered, s.refused = float64(inTime)/whole, float64(refused)/whole
	s.fails = float64(len(calls)-inTime-refused) / whole
}

func (s *summary) countAttempts(r *record, from, to time.Duration) {
	first, last := r.sampleAt(from), r.sampleAt(to)
	calls := float64(max(1, last.calls-first.calls))
	for tier := range last.arrived {
		s.perTier = append(s.perTier, float64(last.arrived[tier]-first.arrived[tier])/calls)
	}
	byClass := make([]int, len(classes))
	for _, u := range r.calls[first.calls:last.calls] {
		byClass[u.class]++
	}
	for class, n := range byClass {
		s.perClass = append(s.perClass, float64(last.byClass[class]-first.byClass[class])/float64(max(1, n)))
	}
	s.worstSecond = r.worstSecond(from, to)
	s.growth = growth(first, last)
	s.lateGrowth = growth(r.sampleAt(from+(to-from)/2), last)
}

// growth is how many attempts the deepest tier got for each at the first, from one sample to a later one.
func growth(first, last sample) float64 {
	deepest := len(last.arrived) - 1
	sent := last.arrived[0] - first.arrived[0]
	return float64(last.arrived[deepest]-first.arrived[deepest]) / float64(max(1, sent))
}

// sampleAt returns the first sample that was taken at a time or after it.
func (r *record) sampleAt(at time.Duration) sample {
	for _, s := range r.samples {
		if s.at >= at {
			return s
		}
	}
	return r.samples[len(r.samples)-1]
}

// worstSecond is the most attempts at the deepest tier for each call of a user, from one sample to the next.
func (r *record) worstSecond(from, to time.Duration) (worst float64) {
	for i, s := range r.samples[1:] {
		before := r.samples[i]
		if before.at < from || before.at >= to {
			continue
		}
		deepest := len(s.arrived) - 1
		attempts := float64(s.arrived[deepest] - before.arrived[deepest])
		worst = max(worst, attempts/float64(max(1, s.calls-before.calls)))
	}
	return worst
}

// recovery is how long after the trouble's end a window begins of whose calls recoveredPart are answered in time.
func (r *record) recovery(end, watched time.Duration) (recovered bool, after time.Duration) {
	for from := end; from+recoveryWindow <= watched; from += recoveryStep {
		calls := r.between(from, from+recoveryWindow)
		inTime := 0
		for _, u := range calls {
			if u.inTime {
				inTime++
			}
		}
		if len(calls) > 0 && float64(inTime) >= recoveredPart*float64(len(calls)) {
			return true, from - end
		}
	}
	return false, watched - end
}
