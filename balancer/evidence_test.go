package balancer

import "testing"

// A replica with little traffic completes a round by time, but only a good one.
func TestEvidenceRoundCompletesFewSamplesByTimeOnlyWhenGood(t *testing.T) {
	type step struct {
		now    Microseconds
		sample sample
		want   loadSignal
	}
	for _, c := range []struct {
		name  string
		start Microseconds
		steps []step
	}{
		{"half of the samples bad", 0, []step{
			{testStart, sample{testStart, true, slowResponse}, signalPending},
			{testStart + second, sample{testStart, false, fastResponse}, signalPending},
		}},
		{"all samples good", testStart, []step{
			{testStart + second, sample{testStart, false, fastResponse}, signalPending},
			{testStart + 5*second, sample{testStart + second, false, fastResponse}, signalHealthy},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			round := evidenceRound{allowedBad: maxBadFraction, minDuration: 5 * second, start: c.start}
			for i, s := range c.steps {
				if signal, _ := round.add(s.now, s.sample); signal != s.want {
					t.Errorf("sample %d: signal %v, want %v", i, signal, s.want)
				}
			}
		})
	}
}
