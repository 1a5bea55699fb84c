package balancer

import (
	"math"
	"testing"
)

func TestDecayingCountFallsExponentially(t *testing.T) {
	var c decayingCount
	c.add(testStart)
	c.add(testStart)
	for _, lifetimes := range []float64{0, 1, 3} {
		now := testStart + Microseconds(lifetimes*float64(countLifetime))
		if got, want := c.at(now), 2*math.Exp(-lifetimes); math.Abs(got-want) > 1e-9 {
			t.Errorf("count after %v lifetimes: %v, want %v", lifetimes, got, want)
		}
	}
}
