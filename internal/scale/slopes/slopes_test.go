package slopes

import (
	"context"
	"errors"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"fernlanding/internal/scale"
	"fernlanding/internal/scale/scaletest"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

// shortPlan makes few calls, lest a busy machine leave one unserved.
func shortPlan() plan {
	p := smallPlan()
	p.sizes, p.rate, p.changes, p.wholeLists = []int{10, 20}, 20, 6, 2
	return p
}

func TestAPointHasAllItsFigures(t *testing.T) {
	for _, m := range modes() {
		env := scaletest.Env(t)
		p := shortPlan()
		at, err := measure(t.Context(), env, p, m, p.sizes[0], nil)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		for name, value := range map[string]float64{
			"restartMs": at.restartMs, "restartCPUMs": at.restartCPUMs, "restartKB": at.restartKB, "idleMB": at.idleMB,
			"changeCPUUs": at.changeCPUUs, "changeBytes": at.changeBytes, "wholeCPUUs": at.wholeCPUUs,
			"wholeBytes": at.wholeBytes, "useMB": at.useMB, "useCPUMs": at.useCPUMs, "callCPUUs": at.callCPUUs,
		} {
			if !(value > 0) {
				t.Errorf("%s: %s is %v", m.name, name, value)
			}
		}
		if at.size != p.sizes[0] || at.calls == 0 {
			t.Errorf("%s: size %d, %d calls", m.name, at.size, at.calls)
		}
		if at.wholeBytes <= at.changeBytes {
			t.Errorf("%s: %v bytes for a whole list, %v for a change", m.name, at.wholeBytes, at.changeBytes)
		}
		if env.Budget.Processes() != 0 {
			t.Errorf("%s: %d processes are left", m.name, env.Budget.Processes())
		}
	}
}

func TestTheRunEndsWithItsContext(t *testing.T) {
	env := scaletest.Env(t)
	stop := errors.New("enough")
	ctx, cancel := context.WithCancelCause(t.Context())
	env.Progress = func(string, ...any) { cancel(stop) }
	if _, err := Experiment.Run(ctx, env); !errors.Is(err, stop) {
		t.Errorf("got %v", err)
	}
	if env.Budget.Processes() != 0 {
		t.Errorf("%d processes are left", env.Budget.Processes())
	}
}

func TestFiguresHoldTheLine(t *testing.T) {
	var points []point
	for _, size := range []int{33, 100, 330, 970} {
		points = append(points, point{size: size, idleMB: 10 + 0.004*float64(size), idleBytes: 6000})
	}
	figures, err := figuresOf(modes()[0], points)
	if err != nil {
		t.Fatal(err)
	}
	if want := len(quantities())*(len(points)+2) + len(points); len(figures) != want {
		t.Errorf("%d figures, want %d", len(figures), want)
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
			t.Errorf("there is no %s, %s", want.Case, want.Quantity)
			continue
		}
		got := figures[at]
		sameTarget := (got.Target == nil) == (want.Target == nil) && (got.Target == nil || *got.Target == *want.Target)
		if got.Unit != want.Unit || math.Abs(got.Value-want.Value) > 1e-9 || !sameTarget || got.Source != scale.RealProxy {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestABaseIsTakenOffInProportion(t *testing.T) {
	base := cost{took: 2 * time.Second, cpu: 4 * time.Millisecond, bytes: 200}
	used := cost{took: 3 * time.Second, cpu: 10 * time.Millisecond, bytes: 1000}
	want := cost{took: 3 * time.Second, cpu: 4 * time.Millisecond, bytes: 700}
	if got := used.less(base); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
