package backend

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
)

// timeOf is how long so many calls at once take in all.
func timeOf(t *testing.T, cfg Config, calls int) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, cfg)
		begin := time.Now()
		if ends := attempts(tier, calls, time.Minute); ends[balancer.OK] != calls {
			t.Errorf("%d calls at once: %v", calls, ends)
		}
		took = time.Since(begin)
	})
	return took
}

func TestACrowdedBackendIsSlower(t *testing.T) {
	cfg := testConfig()
	cfg.Queue = 100
	crowded := cfg
	crowded.Crowded = Crowding{Calls: 10, Slowdown: 3}
	if plain, got := timeOf(t, cfg, 10), timeOf(t, crowded, 10); got != plain {
		t.Errorf("ten calls take %v, and %v where more would be a crowd", plain, got)
	}
	if plain, got := timeOf(t, cfg, 60), timeOf(t, crowded, 60); got < 2*plain || got > 3*plain {
		t.Errorf("sixty calls take %v, and %v in a crowd; want between two and three times as long", plain, got)
	}
}

func TestCallsThatComeLateOrAreReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		const calls = 1000
		must(t, tier.SetFaults(Faults{LatePart: 0.5, LateMost: time.Second, ResetPart: 0.2}))
		late, reset := 0, 0
		for i := range calls {
			sent := time.Now()
			switch status := attempt(tier, strconv.Itoa(i), someClass, time.Minute); status {
			case balancer.Reset:
				reset++
			case balancer.OK:
			default:
				t.Fatalf("status %v", status)
			}
			if time.Since(sent) > 100*millisecond {
				late++
			}
		}
		if late < 400 || late > 500 { // 450 are late by over 0.1 s
			t.Errorf("%d of %d calls were late, want about 450", late, calls)
		}
		if reset < 160 || reset > 240 {
			t.Errorf("%d of %d calls were reset, want about 200", reset, calls)
		}
		if c := tier.Counts(); c.Reset != int64(reset) || c.InFlight != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}
