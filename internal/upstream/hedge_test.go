package upstream

import (
	"testing"
	"time"
)

// All dials are late.
func TestHedgePolicyLimitsHedgesToPartOfDials(t *testing.T) {
	h := newHedgePolicy()
	const firstDials = 1000
	hedges := 0
	for range firstDials {
		h.begin("z")
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
	if got := h.begin("z"); got != initialHedgeDelay {
		t.Errorf("with no connect time known: %v", got)
	}
	for i := range 3 * connectTimeSamples { // a third of them late
		connectTime := 20 * time.Millisecond
		if i%3 == 0 {
			connectTime = time.Second
		}
		h.observe("z", connectTime)
	}
	if got := h.begin("z"); got != hedgeDelayFactor*20*time.Millisecond {
		t.Errorf("with a third late: %v", got)
	}
	if got := h.begin("y"); got != initialHedgeDelay {
		t.Errorf("with connect times of another zone only: %v", got)
	}
	for range connectTimeSamples { // all slow, as a hedge would be
		h.observe("z", time.Second)
	}
	if got := h.begin("z"); got != maxHedgeDelay {
		t.Errorf("with all slow: %v", got)
	}
	for range connectTimeSamples {
		h.observe("z", time.Microsecond)
	}
	if got := h.begin("z"); got != minHedgeDelay {
		t.Errorf("with all fast: %v", got)
	}
}
