package balancer

import (
	"testing"
)

// TestEvidenceRoundCompletesFewSamplesByTime checks that a replica with little traffic completes a round by time, but only a good one.
func TestEvidenceRoundCompletesFewSamplesByTime(t *testing.T) {
	ev := evidenceRound{allowedBad: maxBadFraction, minDuration: 5 * second}
	if v, _ := ev.add(start, sample{start, true, slowResponse}); v != signalPending {
		t.Errorf("one bad finish is taken for a round: %v", v)
	}
	if v, _ := ev.add(start+second, sample{start, false, fastResponse}); v != signalPending {
		t.Errorf("a half bad pair is taken for a round: %v", v)
	}
	ev = evidenceRound{allowedBad: maxBadFraction, minDuration: 5 * second, start: start}
	if v, _ := ev.add(start+second, sample{start, false, fastResponse}); v != signalPending {
		t.Errorf("quick finishes judge before slow ones can show: %v", v)
	}
	if v, _ := ev.add(start+5*second, sample{start + second, false, fastResponse}); v != signalHealthy {
		t.Errorf("after its span a good round is not judged: %v", v)
	}
}
