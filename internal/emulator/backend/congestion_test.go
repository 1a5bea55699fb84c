package backend

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
)

// measureTotal returns the duration of the given number of concurrent calls.
func measureTotal(t *testing.T, cfg Config, calls int) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, cfg)
		begin := time.Now()
		if outcomes := runAttempts(tier, calls, time.Minute); outcomes[balancer.OK] != calls {
			t.Errorf("%d concurrent calls: got %v", calls, outcomes)
		}
		took = time.Since(begin)
	})
	return took
}

func TestCongestedBackendTakesLonger(t *testing.T) {
	cfg := testConfig()
	cfg.Queue = 100
	congested := cfg
	congested.Congestion = Congestion{Threshold: 10, Slowdown: 3}
	if plain, got := measureTotal(t, cfg, 10), measureTotal(t, congested, 10); got != plain {
		t.Errorf("10 calls take %v, and %v with a threshold of 10", plain, got)
	}
	if plain, got := measureTotal(t, cfg, 60), measureTotal(t, congested, 60); got < 2*plain || got > 3*plain {
		t.Errorf("60 calls take %v, and %v with congestion; want between 2 and 3 times as long", plain, got)
	}
}

func TestAttemptDelaysAndResetsFollowRatios(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		const calls = 1000
		must(t, tier.SetFaults(Faults{DelayRatio: 0.5, MaxDelay: time.Second, ResetRatio: 0.2}))
		late, reset := 0, 0
		for i := range calls {
			sent := time.Now()
			switch status := runAttempt(tier, strconv.Itoa(i), idempotentClass, time.Minute); status {
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
