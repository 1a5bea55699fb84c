package balancer

import (
	"math"
	"testing"
)

func TestZonePreferenceFollowsOwnZone(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 8)
	own, other, class := b.endpoints.byID["s0"], b.endpoints.byID["s2"], b.classes[0]
	ownWeight := b.weight(testStart, own, class)
	now := testStart
	addRounds := func(rounds int, slow bool) {
		for range rounds * minRoundSamples {
			now++
			a := &attempt{class: &b.settings.Classes[0], sentAt: now, zone: b.settings.Zone}
			b.applyBackpressure(now, class, a, callObservation{slow: slow, speed: speedOf(false, !slow)})
		}
	}
	addRounds(60, false)
	if w := b.weight(testStart, other, class); w > ownWeight/10 {
		t.Errorf("while the own zone is healthy, another zone has %.3f of its weight, want at most 0.1",
			w/ownWeight)
	}
	addRounds(20, true)
	if w := b.weight(testStart, other, class); w < ownWeight/2 {
		t.Errorf("while the own zone is slow, another zone has %.3f of its weight, want at least 0.5",
			w/ownWeight)
	}
}

func TestZonePreferenceFollowsSignal(t *testing.T) {
	for _, c := range []struct {
		name   string
		sample sample
		want   float64
	}{
		{"healthy", sample{testStart, false, fastResponse}, initialCrossZoneWeight * crossZoneDecay},
		{"faulty", sample{testStart, true, fastResponse}, initialCrossZoneWeight + crossZoneIncrease},
		{"overloaded", sample{testStart, true, slowResponse}, initialCrossZoneWeight + crossZoneIncrease},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := newZonePreference(0)
			z.evidence.configure(maxSlowFraction, second)
			for z.evidence.samples > 0 || z.evidence.start == 0 { // until the first round is complete
				z.adjust(testStart, c.sample)
			}
			if math.Abs(z.crossZoneWeight-c.want) > 1e-9 {
				t.Errorf("weight %v, want %v", z.crossZoneWeight, c.want)
			}
		})
	}
}
