package backend

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
)

// timeCalls returns the time until all of the given number of concurrent calls have ended.
func timeCalls(t *testing.T, cfg Config, calls int) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, cfg)
		begin := time.Now()
		if outcomes := runAttempts(tier, calls, time.Minute); outcomes[balancer.OK] != calls {
			t.Errorf("%d concurrent calls: got outcomes %v", calls, outcomes)
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
	if plain, got := timeCalls(t, cfg, 10), timeCalls(t, congested, 10); got != plain {
		t.Errorf("10 calls: %v without congestion and %v with a threshold of 10, want the same", plain, got)
	}
	if plain, got := timeCalls(t, cfg, 60), timeCalls(t, congested, 60); got < 2*plain || got > 3*plain {
		t.Errorf("60 calls: %v without congestion and %v with it, want 2 to 3 times as long", plain, got)
	}
}

func TestAttemptDelaysAndResetsFollowRatios(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		const calls = 1000
		must(t, tier.SetFaults(Faults{DelayRatio: 0.5, MaxDelay: time.Second, ResetRatio: 0.2}))
		delayed, reset := 0, 0
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
				delayed++
			}
		}
		if delayed < 400 || delayed > 500 { // 450 are expected to be delayed by more than 0.1 s
			t.Errorf("%d of %d calls took more than 100 ms, want about 450", delayed, calls)
		}
		if reset < 160 || reset > 240 {
			t.Errorf("%d of %d calls were reset, want about 200", reset, calls)
		}
		if c := tier.Counts(); c.Reset != int64(reset) || c.InFlight != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}
