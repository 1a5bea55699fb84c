package balancer

import (
	"math"
	"slices"
	"testing"
)

// At a replica with little traffic, a round with few samples completes after its minimum duration, but only
// if it is good.
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
		{"all samples bad", 0, []step{
			{testStart, sample{testStart, true, slowResponse}, signalPending},
			{testStart + 5*second, sample{testStart, true, slowResponse}, signalPending},
		}},
		{"all samples good", testStart, []step{
			{testStart + second, sample{testStart, false, fastResponse}, signalPending},
			{testStart + 5*second, sample{testStart + second, false, fastResponse}, signalHealthy},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			round := evidenceRound{
				allowedBadFraction: maxBadFraction,
				minDuration:        5 * second,
				start:              c.start,
			}
			for i, s := range c.steps {
				if signal, _ := round.add(s.now, s.sample); signal != s.want {
					t.Errorf("sample %d: signal %v, want %v", i, signal, s.want)
				}
			}
		})
	}
}

func TestEvidenceRoundSignalsCompleteRound(t *testing.T) {
	good, slow := sample{testStart, false, fastResponse}, sample{testStart, true, slowResponse}
	failed, fast := sample{testStart, true, noResponse}, sample{testStart, true, fastResponse}
	for _, c := range []struct {
		name    string
		samples []sample
		signal  loadSignal
		factor  float64
	}{
		{"good samples", repeat(good, 12), signalHealthy, 1},
		{"slow samples", repeat(slow, 5), signalOverloaded, 1 - decreaseFactor*5/6},
		{"slow among good samples", append(repeat(good, 3), repeat(slow, 5)...), signalFaulty, 1 - decreaseFactor*5/8},
		{"failures without fast responses", repeat(failed, 5), signalOverloaded, 1 - decreaseFactor*5/6},
		{"late but fast samples", repeat(fast, 5), signalFaulty, 1 - decreaseFactor*5/6},
	} {
		t.Run(c.name, func(t *testing.T) {
			round := evidenceRound{allowedBadFraction: maxBadFraction, minDuration: 5 * second}
			last := len(c.samples) - 1
			for _, s := range c.samples[:last] {
				if signal, factor := round.add(testStart, s); signal != signalPending || factor != 1 {
					t.Fatalf("signal %v and factor %v before the round is complete", signal, factor)
				}
			}
			signal, factor := round.add(testStart, c.samples[last])
			if signal != c.signal || math.Abs(factor-c.factor) > 1e-9 {
				t.Errorf("signal %v and factor %v, want %v and %v", signal, factor, c.signal, c.factor)
			}
		})
	}
}

func repeat(s sample, n int) []sample { return slices.Repeat([]sample{s}, n) }
