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

// testSize is what the tests play: the whole depth, with few backends.
var testSize = size{tiers: 13, backends: 2, fronts: 2, rate: 60,
	settle: 2 * time.Second, trouble: 3 * time.Second, recovery: 3 * time.Second}

// playOnce plays one chain on a clock of its own.
func playOnce(t *testing.T, s size, faults backend.Faults) (r *record) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = play(t.Context(), s, faults, testSeed); err != nil {
			t.Fatal(err)
		}
	})
	return r
}

func TestWithoutTrouble(t *testing.T) {
	r := playOnce(t, testSize, backend.Faults{})
	sum := summarize(testSize, r)
	if sum.answered < 0.99 || !sum.recovered || sum.recovery != 0 {
		t.Errorf("summary %+v", sum)
	}
	for i, c := range r.counts {
		if c.Arrivals > int64(len(r.calls)) || c.Failed != 0 || c.Rejected != 0 || c.ForbiddenRuns != 0 {
			t.Errorf("tier %d, for %d calls: %+v", i+1, len(r.calls), c)
		}
	}
}

func TestFailuresOfTheDeepestTier(t *testing.T) {
	faults := backend.Faults{ErrorRatio: 1}
	r := playOnce(t, testSize, faults)
	checkBudgets(t, testSize, r)
	sum := summarize(testSize, r)
	if sum.answered > 0.05 {
		t.Errorf("%.3f of the calls were answered, though the deepest tier fails", sum.answered)
	}
	if sum.growth < 1.5 {
		t.Errorf("%.2f attempts at the deepest tier for one at the first: hardly any call is repeated", sum.growth)
	}
	if again := playOnce(t, testSize, faults); !reflect.DeepEqual(r, again) {
		t.Errorf("two plays of one seed differ:\n%+v\n%+v", sum, summarize(testSize, again))
	}
}

func TestStallsOfTheDeepestTier(t *testing.T) {
	faults := backend.Faults{StallRatio: 1}
	r := playOnce(t, testSize, faults)
	checkBudgets(t, testSize, r)
	sum := summarize(testSize, r)
	if sum.answered > 0.05 {
		t.Errorf("%.3f of the calls were answered, though the deepest tier stalls", sum.answered)
	}
	if r.counts[len(r.counts)-1].Cancelled == 0 {
		t.Error("no attempt at the deepest tier was given up")
	}
	if again := playOnce(t, testSize, faults); !reflect.DeepEqual(r, again) {
		t.Errorf("two plays of one seed differ:\n%+v\n%+v", sum, summarize(testSize, again))
	}
}

// checkBudgets holds what each tier got against the module's own retry budget: over 10 s a proxy makes at most 5
// attempts, and one for each ten calls that it takes, beyond the calls' first ones.
func checkBudgets(t *testing.T, s size, r *record) {
	t.Helper()
	const (
		share = 0.1
		free  = 5
		span  = 10 * time.Second
	)
	longest := s.end() + classes[safeClass].Deadline.Duration()
	spans := math.Ceil(longest.Seconds() / span.Seconds())
	taken, senders := float64(len(r.calls)), s.fronts
	for i, c := range r.counts {
		most := (1+share)*taken + free*spans*float64(senders)
		if got := float64(c.Arrivals); got > most {
			t.Errorf("tier %d got %v attempts; the budgets allow %v for the %v calls before it", i+1, got, most, taken)
		}
		if c.ForbiddenRuns != 0 {
			t.Errorf("tier %d ran %d calls again though their class forbids it", i+1, c.ForbiddenRuns)
		}
		taken, senders = float64(c.Arrivals), s.backends
	}
	unsafeCalls := int64(0)
	for _, u := range r.calls {
		if u.class == unsafeClass {
			unsafeCalls++
		}
	}
	deepest := r.counts[len(r.counts)-1]
	if got := deepest.ArrivalsByClass[unsafeClass]; got > unsafeCalls { // no queue was full
		t.Errorf("%d unsafe attempts at the deepest tier for %d calls", got, unsafeCalls)
	}
}

func TestExperiment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, err := Experiment.Run(t.Context(), scaletest.EnvInMemory(testSeed))
		if err != nil {
			t.Fatal(err)
		}
		seen := scaletest.CheckFigures(t, result.Figures, scale.HollowProxy)
		for _, c := range troubles {
			if !seen[scaletest.FigureName{Case: c.name, Quantity: "attempts at tier 13 for a call"}] {
				t.Errorf("no figure of tier 13 in the case %q", c.name)
			}
		}
	})
}

func TestEndOfContext(t *testing.T) { scaletest.CheckEndOfContext(t, Experiment, testSeed) }

// callsEvery makes calls of one outcome.
func callsEvery(gap, from, to time.Duration, outcome hollow.Outcome) (calls []*userCall) {
	for at := from; at < to; at += gap {
		calls = append(calls, &userCall{begun: at, outcome: outcome, inTime: outcome == hollow.Served})
	}
	return calls
}

func TestRecovery(t *testing.T) {
	const end, watched = 5 * time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		failing   time.Duration // calls fail so long after the trouble
		recovered bool
		after     time.Duration
	}{
		"at once":  {0, true, 0},
		"later":    {1500 * time.Millisecond, true, 1500 * time.Millisecond},
		"too late": {4500 * time.Millisecond, false, 5 * time.Second},
	} {
		r := &record{calls: callsEvery(10*time.Millisecond, 0, end+c.failing, hollow.Rejected)}
		r.calls = append(r.calls, callsEvery(10*time.Millisecond, end+c.failing, watched, hollow.Served)...)
		if ok, after := r.recovery(end, watched); ok != c.recovered || after != c.after {
			t.Errorf("%s: recovered %v after %v", name, ok, after)
		}
	}
}

func TestSummary(t *testing.T) {
	s := size{settle: time.Second, trouble: 2 * time.Second, recovery: time.Second}
	r := &record{
		calls: append(callsEvery(100*time.Millisecond, 0, 2*time.Second, hollow.Served),
			append(callsEvery(100*time.Millisecond, 2*time.Second, 2500*time.Millisecond, hollow.Rejected),
				callsEvery(100*time.Millisecond, 2500*time.Millisecond, 4*time.Second, hollow.Failed)...)...),
		samples: []sample{
			{0, 0, []int64{0, 0}, []int64{0, 0, 0}},
			{1 * time.Second, 10, []int64{10, 10}, []int64{10, 0, 0}},
			{2 * time.Second, 20, []int64{20, 40}, []int64{40, 0, 0}},
			{3 * time.Second, 30, []int64{30, 50}, []int64{50, 0, 0}},
			{4 * time.Second, 40, []int64{40, 90}, []int64{90, 0, 0}},
		},
	}
	got := summarize(s, r)
	want := summary{calls: 20, perTier: []float64{1, 2}, worstSecond: 3, growth: 2, lateGrowth: 1, perClass: []float64{2, 0, 0},
		answered: 0.5, refused: 0.25, fails: 0.25, recovery: time.Second}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
