package backend

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
	"baylock/internal/emulator/hollow"
)

const (
	millisecond = time.Millisecond

	// Indexes into testClasses.
	idempotentClass    = 0
	keyedClass         = 1
	nonIdempotentClass = 2
)

var testClasses = []balancer.Class{
	{LatencyObjective: 200_000, Deadline: 1_000_000, Idempotency: balancer.Idempotent},
	{LatencyObjective: 200_000, Deadline: 1_000_000, Idempotency: balancer.IdempotentWithKey, DedupWindow: 500_000},
	{LatencyObjective: 200_000, Deadline: 1_000_000, Idempotency: balancer.NotIdempotent},
}

func testConfig() Config {
	return Config{Names: []string{"b1"}, Classes: testClasses, Work: 10 * millisecond, Latency: millisecond, Workers: 2,
		Queue: 1, Seed: 1}
}

func newTier(t *testing.T, cfg Config) *Tier {
	t.Helper()
	tier, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return tier
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// runAttempt makes one attempt at backend b1 and cancels it after the timeout.
func runAttempt(tier *Tier, id string, class int, timeout time.Duration) balancer.Status {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return tier.Attempt(ctx, "b1", hollow.Call{ID: id, Class: class, Deadline: time.Now().Add(timeout)})
}

// runAttempts makes n concurrent attempts and returns how many ended with each status.
func runAttempts(tier *Tier, n int, timeout time.Duration) map[balancer.Status]int {
	outcomes := map[balancer.Status]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			status := runAttempt(tier, strconv.Itoa(i), idempotentClass, timeout)
			mu.Lock()
			defer mu.Unlock()
			outcomes[status]++
		})
	}
	group.Wait()
	return outcomes
}

func TestNewInvalidConfigGivesError(t *testing.T) {
	cold := ColdStart{InitialCapacity: 0.3, WarmUp: 1, OverloadFactor: 3, OverloadWindow: 1}
	for _, test := range []struct {
		name   string
		change func(*Config)
		want   string // substring of the error
	}{
		{"no names", func(c *Config) { c.Names = nil }, "Names"},
		{"duplicate name", func(c *Config) { c.Names = []string{"b1", "b1"} }, `"b1"`},
		{"no work", func(c *Config) { c.Work = 0 }, "Work"},
		{"negative latency", func(c *Config) { c.Latency = -1 }, "Latency"},
		{"no workers", func(c *Config) { c.Workers = 0 }, "Workers"},
		{"negative queue", func(c *Config) { c.Queue = -1 }, "Queue"},
		{"no warm-up", func(c *Config) { c.ColdStart.WarmUp = 0 }, "ColdStart.WarmUp"},
		{"no initial capacity", func(c *Config) { c.ColdStart.InitialCapacity = 0 }, "ColdStart.InitialCapacity"},
		{"initial capacity above 1", func(c *Config) { c.ColdStart.InitialCapacity = 2 }, "ColdStart.InitialCapacity"},
		{"no overload factor", func(c *Config) { c.ColdStart.OverloadFactor = 0 }, "ColdStart.OverloadFactor"},
		{"no overload window", func(c *Config) { c.ColdStart.OverloadWindow = 0 }, "ColdStart.OverloadWindow"},
		{"congestion without threshold", func(c *Config) { c.Congestion = Congestion{Slowdown: 2} }, "Congestion"},
		{"slowdown below 1", func(c *Config) { c.Congestion = Congestion{Threshold: 1, Slowdown: 0.5} }, "Congestion"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.ColdStart = cold
			test.change(&cfg)
			if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %s in it", err, test.want)
			}
		})
	}
}

func TestSetFaultsInvalidRatioGivesError(t *testing.T) {
	tier := newTier(t, testConfig())
	for _, test := range []struct {
		name   string
		faults Faults
	}{
		{"negative errors", Faults{ErrorRatio: -0.1}},
		{"stalls above 1", Faults{StallRatio: 1.1}},
		{"errors and stalls above 1", Faults{ErrorRatio: 0.6, StallRatio: 0.6}},
		{"errors not a number", Faults{ErrorRatio: math.NaN()}},
		{"negative resets", Faults{ResetRatio: -0.1}},
		{"errors and resets above 1", Faults{ErrorRatio: 0.6, ResetRatio: 0.6}},
		{"delayed above 1", Faults{DelayRatio: 1.1}},
		{"delayed not a number", Faults{DelayRatio: math.NaN()}},
		{"negative delay", Faults{MaxDelay: -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if tier.SetFaults(test.faults) == nil {
				t.Error("no error")
			}
		})
	}
}

func TestCrashUnknownBackendGivesError(t *testing.T) {
	if newTier(t, testConfig()).Crash("other") == nil {
		t.Error("no error")
	}
}

func TestAttemptBeyondQueueIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		outcomes := runAttempts(tier, 5, time.Second)
		if outcomes[balancer.OK] != 3 || outcomes[balancer.Rejected] != 2 {
			t.Errorf("2 workers, 1 place in the queue, 5 concurrent attempts: got outcomes %v", outcomes)
		}
		c := tier.Counts()
		if c.Arrivals != 5 || c.ArrivalsByClass[idempotentClass] != 5 || c.Served != 3 || c.Rejected != 2 ||
			c.InFlight != 0 || c.InFlightPeak < 3 {
			t.Errorf("counts %+v", c)
		}
		if got := tier.Attempt(t.Context(), "other", hollow.Call{}); got != balancer.ConnectFailed {
			t.Errorf("unknown backend: got status %v", got)
		}
	})
}

func TestAttemptDurationFollowsConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		const calls = 2000
		begin := time.Now()
		for i := range calls {
			sent := time.Now()
			if got := runAttempt(tier, strconv.Itoa(i), idempotentClass, time.Second); got != balancer.OK {
				t.Fatalf("status %v", got)
			}
			if took := time.Since(sent); took < 6*millisecond {
				t.Fatalf("an attempt took %v, less than half of the sum of the mean work and latencies", took)
			}
		}
		mean := time.Since(begin) / calls // 12 ms expected; the standard deviation of one attempt is about 5 ms
		if mean < 11500*time.Microsecond || mean > 12500*time.Microsecond {
			t.Errorf("mean duration %v, want about 12 ms", mean)
		}
	})
}

func TestAttemptFaultsFollowRatios(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		must(t, tier.SetFaults(Faults{ErrorRatio: 0.3, StallRatio: 0.2}))
		outcomes := map[balancer.Status]int{}
		for i := range 1000 {
			sent := time.Now()
			status := runAttempt(tier, strconv.Itoa(i), idempotentClass, time.Second)
			if outcomes[status]++; status == balancer.Cancelled && time.Since(sent).Truncate(timerSlack) != time.Second {
				t.Fatalf("a stalled attempt ended after %v, want its timeout of 1s", time.Since(sent))
			}
		}
		expectBetween := func(status balancer.Status, least, most int) {
			if outcomes[status] < least || outcomes[status] > most {
				t.Errorf("%d of 1000 attempts ended with status %v, want %d to %d", outcomes[status], status, least, most)
			}
		}
		expectBetween(balancer.Error, 250, 350)
		expectBetween(balancer.Cancelled, 150, 250)
		expectBetween(balancer.OK, 450, 550)
		if c := tier.Counts(); c.Failed != int64(outcomes[balancer.Error]) || c.Cancelled != int64(outcomes[balancer.Cancelled]) || c.InFlight != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}

func TestStalledAttemptKeepsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		must(t, tier.SetFaults(Faults{StallRatio: 1}))
		outcomes := runAttempts(tier, 5, 100*millisecond)
		if outcomes[balancer.Cancelled] != 3 || outcomes[balancer.Rejected] != 2 {
			t.Errorf("got outcomes %v", outcomes)
		}
		must(t, tier.SetFaults(Faults{}))
		if outcomes = runAttempts(tier, 2, 100*millisecond); outcomes[balancer.OK] != 2 {
			t.Errorf("after the stall: got outcomes %v", outcomes)
		}
	})
}

func TestHangBlocksAttemptsUntilResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		must(t, tier.Hang("b1"))
		time.AfterFunc(300*millisecond, func() {
			if err := tier.Resume("b1"); err != nil {
				t.Error(err)
			}
		})
		if got := runAttempt(tier, "impatient", idempotentClass, 200*millisecond); got != balancer.Cancelled {
			t.Errorf("during the hang: status %v", got)
		}
		sent := time.Now()
		if got := runAttempt(tier, "patient", idempotentClass, time.Second); got != balancer.OK || time.Since(sent) < 100*millisecond {
			t.Errorf("status %v after %v; want OK, after the hang has ended", got, time.Since(sent))
		}
	})
}

func TestCrashResetsAttemptsUntilStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		must(t, tier.Hang("b1"))
		time.AfterFunc(100*millisecond, func() {
			if err := tier.Crash("b1"); err != nil {
				t.Error(err)
			}
		})
		if outcomes := runAttempts(tier, 3, time.Second); outcomes[balancer.Reset] != 3 {
			t.Errorf("at the crash: outcomes %v", outcomes)
		}
		if got := runAttempt(tier, "down", idempotentClass, time.Second); got != balancer.ConnectFailed {
			t.Errorf("down: status %v", got)
		}
		must(t, tier.Start("b1"))
		if got := runAttempt(tier, "up", idempotentClass, time.Second); got != balancer.OK {
			t.Errorf("up: status %v", got)
		}
		if c := tier.Counts(); c.Arrivals != 4 || c.Reset != 3 || c.InFlight != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}

// fakeNextTier is a Caller that records its calls and answers them by calling answer.
type fakeNextTier struct {
	calls  []hollow.Call
	answer func(ctx context.Context) hollow.Result
}

func (n *fakeNextTier) Call(ctx context.Context, call hollow.Call) hollow.Result {
	n.calls = append(n.calls, call)
	return n.answer(ctx)
}

func TestAttemptCallsNextTierWithRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		next := &fakeNextTier{answer: func(context.Context) hollow.Result { return hollow.Result{Outcome: hollow.Served} }}
		must(t, tier.Connect("b1", next))
		call := hollow.Call{ID: "c", Class: keyedClass, Tenant: 1, Key: "k", Depth: 3}
		send := func(deadline time.Time) balancer.Status {
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			call.Deadline = deadline
			return tier.Attempt(ctx, "b1", call)
		}
		sent := time.Now()
		if got := send(sent.Add(50*millisecond + 700*time.Microsecond)); got != balancer.OK {
			t.Errorf("served by the next tier: status %v", got)
		}
		got := next.calls[0]
		// The deadline is the call's arrival plus the timeout that the proxy sent in whole milliseconds.
		if d := got.Deadline.Sub(sent); d < 50*millisecond+500*time.Microsecond || d > 60*millisecond {
			t.Errorf("the deadline at the next tier is %v after the attempt was sent, want 50.5ms to 60ms", d)
		}
		got.Deadline = time.Time{}
		if got != (hollow.Call{ID: "b1/1", Class: keyedClass, Tenant: 1, Key: "k", Depth: 4}) {
			t.Errorf("call to the next tier: %+v", got)
		}
		next.answer = func(context.Context) hollow.Result { return hollow.Result{Outcome: hollow.Rejected} }
		if got := send(time.Now().Add(time.Second)); got != balancer.Error {
			t.Errorf("rejected by the next tier: status %v", got)
		}
		next.answer = func(ctx context.Context) hollow.Result {
			<-ctx.Done()
			return hollow.Result{}
		}
		if got := send(time.Now().Add(100 * millisecond)); got != balancer.Cancelled {
			t.Errorf("cancelled during the call to the next tier: status %v", got)
		}
		if c := tier.Counts(); c.Served != 1 || c.Failed != 1 || c.Cancelled != 1 {
			t.Errorf("counts %+v", c)
		}
	})
}

func TestCountsForbiddenRunsByIdempotency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTier(t, testConfig())
		run := func(id string, class int, forbidden int64) {
			t.Helper()
			runAttempt(tier, id, class, time.Second)
			if got := tier.Counts().ForbiddenRuns; got != forbidden {
				t.Errorf("%s: %d forbidden runs; want %d", id, got, forbidden)
			}
		}
		run("idempotent", idempotentClass, 0)
		run("idempotent", idempotentClass, 0)
		run("keyed", keyedClass, 0)
		run("keyed", keyedClass, 0)
		run("not idempotent", nonIdempotentClass, 0)
		run("not idempotent", nonIdempotentClass, 1)
		time.Sleep(500 * millisecond) // the deduplication window of keyedClass
		run("keyed", keyedClass, 2)
		time.Sleep(3 * time.Second) // longer than the retention time of the run log, after which no retry may arrive
		run("another", nonIdempotentClass, 2)
		if log := tier.counters.runs; len(log.firstRun) != 1 || len(log.byFirstRun) != 1 {
			t.Errorf("%d runs in the log, want only the last one", len(log.firstRun))
		}
	})
}

func TestAttemptsWithSameSeedRepeatOutcomes(t *testing.T) {
	runOnce := func() (outcomes []balancer.Status, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			tier := newTier(t, testConfig())
			must(t, tier.SetFaults(Faults{ErrorRatio: 0.5}))
			begin := time.Now()
			for i := range 200 {
				outcomes = append(outcomes, runAttempt(tier, strconv.Itoa(i), idempotentClass, 15*millisecond))
			}
			took = time.Since(begin)
		})
		return outcomes, took
	}
	first, firstTook := runOnce()
	second, secondTook := runOnce()
	if !slices.Equal(first, second) || firstTook != secondTook {
		t.Errorf("two runs with the same seed took %v and %v, with outcomes\n%v\n%v", firstTook, secondTook, first, second)
	}
}

// Outcomes must depend neither on the order of attempts that begin simultaneously nor on that of simultaneous
// timeouts.
func TestSimultaneousAttemptsRepeatOutcomes(t *testing.T) {
	const calls = 50
	runOnce := func() (outcomes [calls]balancer.Status, times [calls]time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			cfg := testConfig()
			cfg.Workers = calls
			tier := newTier(t, cfg)
			must(t, tier.SetFaults(Faults{ErrorRatio: 0.3, StallRatio: 0.3}))
			begin := time.Now()
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					outcomes[i] = runAttempt(tier, strconv.Itoa(i), idempotentClass, 100*millisecond)
					times[i] = time.Since(begin)
				})
			}
			group.Wait()
		})
		return outcomes, times
	}
	outcomes, times := runOnce()
	for range 5 {
		if againOutcomes, againTimes := runOnce(); againOutcomes != outcomes || againTimes != times {
			t.Fatalf("two runs with the same seed differ:\n%v %v\n%v %v", outcomes, times, againOutcomes, againTimes)
		}
	}
	slices.Sort(times[:])
	for i := range calls - 1 {
		if times[i] == times[i+1] {
			t.Errorf("two attempts ended at the same time, after %v", times[i])
		}
	}
}
