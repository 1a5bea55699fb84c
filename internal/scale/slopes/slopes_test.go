package slopes

import (
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

// shortPlan makes few calls, because on a busy machine one of many calls may fail.
func shortPlan() plan {
	p := smallPlan()
	p.sizes, p.rate, p.rounds, p.changes, p.snapshots = []int{10, 20}, 20, 2, 6, 2
	return p
}

func TestMeasureAllGivesSamplesOfEverySize(t *testing.T) {
	for _, m := range modes() {
		t.Run(m.name, func(t *testing.T) {
			env, p := scaletest.Env(t), shortPlan()
			points, err := measureAll(t.Context(), env, p, m, nil)
			if err != nil {
				t.Fatal(err)
			}
			if len(points) != len(p.sizes) {
				t.Fatalf("got %d points, want %d", len(points), len(p.sizes))
			}
			for i, at := range points {
				if at.size != p.sizes[i] || at.calls == 0 {
					t.Errorf("point %d has size %d and %d calls", i, at.size, at.calls)
				}
				checkSamples(t, p, at)
			}
			if n := env.Budget.Processes(); n != 0 {
				t.Errorf("%d processes are still running", n)
			}
		})
	}
}

// checkSamples checks the number of samples of each metric, and that each value is positive, except those of the metrics
// in mayBeNonPositive.
func checkSamples(t *testing.T, p plan, measured *point) {
	t.Helper()
	counts := map[metric]int{restartTime: p.starts, restartCPU: p.starts, restartBytes: p.starts,
		idleMemory: 1, idleCPU: 1, idleBytes: 1}
	// The values of these metrics may be zero. Some may also be negative, because other costs are subtracted from them.
	mayBeNonPositive := []metric{idleCPU, idleBytes, inUseBytes, inUseChangeCPU, changeCPU, snapshotCPU}
	for m := range metricCount {
		want, ok := counts[m]
		if !ok {
			want = p.rounds
		}
		if len(measured.samples[m]) != want {
			t.Errorf("size %d, metric %d: %d samples, want %d", measured.size, m, len(measured.samples[m]), want)
		}
		if value := measured.value(m); !(value > 0) && !slices.Contains(mayBeNonPositive, m) {
			t.Errorf("size %d, metric %d: value %v is not positive", measured.size, m, value)
		}
	}
	if measured.value(snapshotBytes) <= measured.value(changeBytes) {
		t.Errorf("size %d: a snapshot takes %v bytes, a change %v; want more for the snapshot",
			measured.size, measured.value(snapshotBytes), measured.value(changeBytes))
	}
}

func TestForEachAlternatingReversesEveryOtherRound(t *testing.T) {
	var subjects []*subject
	for size := range 3 {
		subjects = append(subjects, &subject{point: point{size: size}})
	}
	var order []int
	err := forEachAlternating(subjects, 3, func(s *subject) error {
		order = append(order, s.point.size)
		return nil
	})
	if want := []int{0, 1, 2, 2, 1, 0, 0, 1, 2}; err != nil || !slices.Equal(order, want) {
		t.Errorf("got order %v, error %v", order, err)
	}
}

func TestRunEndsWithContext(t *testing.T) { scaletest.CheckCancelledRun(t, Experiment, "") }

func TestFiguresIncludeFittedLine(t *testing.T) {
	var points []*point
	for _, size := range []int{33, 100, 330, 970} {
		p := &point{size: size}
		for _, noise := range []float64{0, -1, 5} { // the median has zero noise
			p.add(idleMemory, 10+0.004*float64(size)+noise)
			p.add(idleBytes, 6000+noise)
		}
		points = append(points, p)
	}
	figures, err := figuresOf(modes()[0], points)
	if err != nil {
		t.Fatal(err)
	}
	if want := len(quantities())*(len(points)+2) + len(points); len(figures) != want {
		t.Errorf("got %d figures, want %d", len(figures), want)
	}
	for _, want := range []scale.Figure{
		{Case: "pushed, idle, 970 listed", Quantity: "memory", Unit: "MB", Value: 13.88, Target: scale.Target(32)},
		{Case: "pushed, idle, slope", Quantity: "memory", Unit: "kB per backend", Value: 4},
		{Case: "pushed, idle, intercept", Quantity: "memory", Unit: "MB", Value: 10},
		{Case: "pushed, idle, 33 listed", Quantity: "bytes of discovery", Unit: "B/s", Value: 6000, Target: scale.Target(5000)},
	} {
		at := slices.IndexFunc(figures, func(f scale.Figure) bool {
			return f.Case == want.Case && f.Quantity == want.Quantity
		})
		if at < 0 {
			t.Errorf("figure not found: %s, %s", want.Case, want.Quantity)
			continue
		}
		got := figures[at]
		sameTarget := (got.Target == nil) == (want.Target == nil) && (got.Target == nil || *got.Target == *want.Target)
		if got.Unit != want.Unit || math.Abs(got.Value-want.Value) > 1e-9 || !sameTarget || got.Source != scale.RealProxy {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestCostMinusScalesBaseToSameTime(t *testing.T) {
	base := cost{elapsed: 2 * time.Second, cpu: 4 * time.Millisecond, bytes: 200}
	used := cost{elapsed: 3 * time.Second, cpu: 10 * time.Millisecond, bytes: 1000}
	want := cost{elapsed: 3 * time.Second, cpu: 4 * time.Millisecond, bytes: 700}
	if got := used.minus(base); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
