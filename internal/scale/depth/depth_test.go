package depth

import (
	"math"
	"os"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/emulator/hollow"
	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

const testSeed = 1

func TestMain(m *testing.M) { os.Exit(scaletest.MainInMemory(m)) }

// testSize has the full number of tiers with few backends.
var testSize = size{tiers: 13, backends: 2, frontProxies: 2, rate: 60,
	settle: 2 * time.Second, fault: 3 * time.Second, recovery: 3 * time.Second}

// simulateOnce runs one simulation in a synctest bubble.
func simulateOnce(t *testing.T, s size, faults backend.Faults) (r *recording) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = simulate(t.Context(), s, faults, testSeed); err != nil {
			t.Fatal(err)
		}
	})
	return r
}

func TestChainWithoutFaultServesAllCalls(t *testing.T) {
	r := simulateOnce(t, testSize, backend.Faults{})
	sum := summarize(testSize, r)
	if sum.served < 0.99 || !sum.recovered || sum.recovery != 0 {
		t.Errorf("summary %+v", sum)
	}
	for i, c := range r.counts {
		if c.Arrivals > int64(len(r.calls)) || c.Failed != 0 || c.Rejected != 0 || c.ForbiddenRuns != 0 {
			t.Errorf("tier %d, for %d calls: %+v", i+1, len(r.calls), c)
		}
	}
}

func TestChainWithFailingTierStaysWithinRetryBudgets(t *testing.T) {
	faults := backend.Faults{ErrorRatio: 1}
	r := simulateOnce(t, testSize, faults)
	checkBudgets(t, testSize, r)
	sum := summarize(testSize, r)
	if sum.served > 0.05 {
		t.Errorf("%.3f of the calls were served, though the deepest tier fails", sum.served)
	}
	if sum.amplification < 1.5 {
		t.Errorf("%.2f attempts at the deepest tier per attempt at the first: there were hardly any retries", sum.amplification)
	}
	if again := simulateOnce(t, testSize, faults); !reflect.DeepEqual(r, again) {
		t.Errorf("two runs with one seed differ:\n%+v\n%+v", sum, summarize(testSize, again))
	}
}

func TestChainWithStalledTierStaysWithinRetryBudgets(t *testing.T) {
	faults := backend.Faults{StallRatio: 1}
	r := simulateOnce(t, testSize, faults)
	checkBudgets(t, testSize, r)
	sum := summarize(testSize, r)
	if sum.served > 0.05 {
		t.Errorf("%.3f of the calls were served, though the deepest tier stalls", sum.served)
	}
	if r.counts[len(r.counts)-1].Cancelled == 0 {
		t.Error("no attempt at the deepest tier was cancelled")
	}
	if again := simulateOnce(t, testSize, faults); !reflect.DeepEqual(r, again) {
		t.Errorf("two runs with one seed differ:\n%+v\n%+v", sum, summarize(testSize, again))
	}
}

// checkBudgets checks each tier's attempts against the balancer's default retry budget: over 10 s, a proxy makes at most
// 5 retries, plus one for every ten of its calls.
func checkBudgets(t *testing.T, s size, r *recording) {
	t.Helper()
	const (
		ratio   = 0.1
		minimum = 5
		window  = 10 * time.Second
	)
	longest := s.end() + classes[idempotentClass].Deadline.Duration()
	windows := math.Ceil(longest.Seconds() / window.Seconds())
	calls, senders := float64(len(r.calls)), s.frontProxies
	for i, c := range r.counts {
		limit := (1+ratio)*calls + minimum*windows*float64(senders)
		if got := float64(c.Arrivals); got > limit {
			t.Errorf("tier %d received %v attempts; the budgets allow %v for the %v calls of its proxies", i+1, got, limit, calls)
		}
		if c.ForbiddenRuns != 0 {
			t.Errorf("tier %d ran %d calls again although their class forbids it", i+1, c.ForbiddenRuns)
		}
		calls, senders = float64(c.Arrivals), s.backends
	}
	nonIdempotentCalls := int64(0)
	for _, u := range r.calls {
		if u.class == nonIdempotentClass {
			nonIdempotentCalls++
		}
	}
	deepest := r.counts[len(r.counts)-1]
	if got := deepest.ArrivalsByClass[nonIdempotentClass]; got > nonIdempotentCalls { // no queue was full, so none may be retried
		t.Errorf("%d attempts of non-idempotent calls at the deepest tier for %d calls", got, nonIdempotentCalls)
	}
}

func TestRunGivesFiguresOfEveryTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, err := Experiment.Run(t.Context(), scaletest.EnvInMemory(testSeed))
		if err != nil {
			t.Fatal(err)
		}
		seen := scaletest.CheckFigures(t, result.Figures, scale.HollowProxy)
		for _, c := range faultCases {
			if !seen[scaletest.FigureName{Case: c.name, Quantity: "attempts at tier 13 for a call"}] {
				t.Errorf("no figure of tier 13 in the case %q", c.name)
			}
		}
	})
}

func TestRunEndsWithContext(t *testing.T) { scaletest.CheckEndOfContext(t, Experiment, testSeed) }

// callsAtInterval returns calls that start at a fixed interval and all have the given outcome.
func callsAtInterval(interval, from, to time.Duration, outcome hollow.Outcome) (calls []*userCall) {
	for at := from; at < to; at += interval {
		calls = append(calls, &userCall{start: at, outcome: outcome, inTime: outcome == hollow.Served})
	}
	return calls
}

func TestRecordingRecoveryTime(t *testing.T) {
	const end, recorded = 5 * time.Second, 10 * time.Second
	for _, test := range []struct {
		name      string
		failing   time.Duration // time after the fault until calls are served again
		recovered bool
		after     time.Duration
	}{
		{"at once", 0, true, 0},
		{"later", 1500 * time.Millisecond, true, 1500 * time.Millisecond},
		{"too late", 4500 * time.Millisecond, false, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &recording{calls: callsAtInterval(10*time.Millisecond, 0, end+test.failing, hollow.Rejected)}
			r.calls = append(r.calls, callsAtInterval(10*time.Millisecond, end+test.failing, recorded, hollow.Served)...)
			if recovered, after := r.recovery(end, recorded); recovered != test.recovered || after != test.after {
				t.Errorf("recovered %v after %v, want %v after %v", recovered, after, test.recovered, test.after)
			}
		})
	}
}

func TestSummarizeRecording(t *testing.T) {
	s := size{settle: time.Second, fault: 2 * time.Second, recovery: time.Second}
	r := &recording{
		calls: append(callsAtInterval(100*time.Millisecond, 0, 2*time.Second, hollow.Served),
			append(callsAtInterval(100*time.Millisecond, 2*time.Second, 2500*time.Millisecond, hollow.Rejected),
				callsAtInterval(100*time.Millisecond, 2500*time.Millisecond, 4*time.Second, hollow.Failed)...)...),
		samples: []sample{
			{0, 0, []int64{0, 0}, []int64{0, 0, 0}},
			{1 * time.Second, 10, []int64{10, 10}, []int64{10, 0, 0}},
			{2 * time.Second, 20, []int64{20, 40}, []int64{40, 0, 0}},
			{3 * time.Second, 30, []int64{30, 50}, []int64{50, 0, 0}},
			{4 * time.Second, 40, []int64{40, 90}, []int64{90, 0, 0}},
		},
	}
	got := summarize(s, r)
	want := summary{calls: 20, tierAttempts: []float64{1, 2}, worstSecond: 3, amplification: 2, lateAmplification: 1,
		classAttempts: []float64{2, 0, 0}, served: 0.5, rejected: 0.25, failed: 0.25, recovery: time.Second}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
