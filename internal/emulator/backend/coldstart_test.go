package backend

import (
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
)

func TestColdBackendTakesLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.Latency = 0
		cfg.ColdStart = ColdStart{InitialCapacity: 0.25, WarmUp: 1000 * time.Second, OverloadFactor: 100, OverloadWindow: time.Second}
		tier := newTier(t, cfg)
		must(t, tier.Start("b1"))
		mean := func(calls int) time.Duration {
			begin := time.Now()
			for i := range calls {
				runAttempt(tier, strconv.Itoa(i), idempotentClass, time.Second)
			}
			return time.Since(begin) / time.Duration(calls)
		}
		if got := mean(500); got < 35*millisecond || got > 42*millisecond { // 40 ms at first, less as the capacity grows
			t.Errorf("mean at the start: %v, want 35ms to 42ms", got)
		}
		time.Sleep(1000 * time.Second)
		if got := mean(500); got < 9*millisecond || got > 11*millisecond {
			t.Errorf("mean when warm: %v, want 9ms to 11ms", got)
		}
	})
}

func TestColdBackendCrashesAboveOverloadThreshold(t *testing.T) {
	// Two workers that need 10 ms for a call serve 200 calls per second when warm, and half as many when cold.
	// OverloadFactor 2 makes 200 calls sustainable within the window of 1 s.
	const sustainable = 200
	const threshold = 230 // the overloadThreshold of 200: 200 + 2 x 14.1 + 2, rounded
	for _, test := range []struct {
		name    string
		calls   int // the sum of their random work has a standard deviation of 7 to 8 calls' mean work
		crashes bool
	}{
		{"below", threshold - 25, false},
		{"above", threshold + 25, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig()
				cfg.ColdStart = ColdStart{InitialCapacity: 0.5, WarmUp: 100 * time.Second, OverloadFactor: 2,
					OverloadWindow: time.Second}
				tier := newTier(t, cfg)
				must(t, tier.Start("b1"))
				outcomes := runAttempts(tier, test.calls, time.Second)
				counts := tier.Counts()
				crashed := counts.OverloadCrashes == 1
				if crashed != test.crashes || crashed != (counts.ColdPeakThresholdRatio > 1) || crashed != (outcomes[balancer.Reset] > 0) {
					t.Errorf("outcomes %v, counts %+v", outcomes, counts)
				}
				want := counts.ColdPeakThresholdRatio * threshold / sustainable
				if math.Abs(counts.ColdPeakSustainableRatio-want) > 0.01 {
					t.Errorf("peak load is %v times the sustainable load, want %v", counts.ColdPeakSustainableRatio, want)
				}
				status := runAttempt(tier, "later", idempotentClass, time.Second)
				if down := status == balancer.ConnectFailed; down != test.crashes {
					t.Errorf("attempt after the load: status %v", status)
				}
				if !test.crashes && counts.ColdArrivals != int64(test.calls) {
					t.Errorf("%d arrivals at the cold backend, want %d", counts.ColdArrivals, test.calls)
				}
			})
		})
	}
}

func TestColdLoadDropsArrivalsOutsideWindow(t *testing.T) {
	var load coldLoad
	start := time.Now()
	for i := range 10 {
		at := start.Add(time.Duration(i) * 300 * millisecond)
		got := load.add(arrival{at: at, weight: 1}, time.Second)
		if want := float64(min(i+1, 4)); got != want {
			t.Errorf("call %d: load %v; want %v", i, got, want)
		}
	}
}
