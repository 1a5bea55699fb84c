package upstream

import (
	"testing"
	"time"
)

// Every dial is slow, so each race asks for as many hedges as possible.
func TestHedgePolicyLimitsHedgesToFractionOfDials(t *testing.T) {
	h := newHedgePolicy()
	const firstDials = 1000
	hedges := 0
	for range firstDials {
		h.beginRace("z")
		for range maxRacingDials - 1 {
			if h.allow() {
				hedges++
			}
		}
	}
	if most := hedgeTokensPerDial*firstDials + maxHedgeTokens; float64(hedges) > most || float64(hedges) < hedgeTokensPerDial*firstDials-1 {
		t.Errorf("%d hedges for %d first dials, want %v at most", hedges, firstDials, most)
	}
}

func TestHedgePolicyDelayFollowsMedianConnectTime(t *testing.T) {
	h := newHedgePolicy()
	if got := h.beginRace("z"); got != initialHedgeDelay {
		t.Errorf("without connect times: got %v", got)
	}
	for i := range 3 * connectTimeSamples { // a third of them slow
		connectTime := 20 * time.Millisecond
		if i%3 == 0 {
			connectTime = time.Second
		}
		h.observe("z", connectTime)
	}
	if got := h.beginRace("z"); got != hedgeDelayFactor*20*time.Millisecond {
		t.Errorf("with a third slow: got %v", got)
	}
	if got := h.beginRace("y"); got != initialHedgeDelay {
		t.Errorf("with connect times of another zone only: got %v", got)
	}
	for range connectTimeSamples { // all slow, so a hedge would be slow too
		h.observe("z", time.Second)
	}
	if got := h.beginRace("z"); got != maxHedgeDelay {
		t.Errorf("with all slow: got %v", got)
	}
	for range connectTimeSamples {
		h.observe("z", time.Microsecond)
	}
	if got := h.beginRace("z"); got != minHedgeDelay {
		t.Errorf("with all fast: got %v", got)
	}
}
