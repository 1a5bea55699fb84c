package reload

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

func figure(t *testing.T, figures []scale.Figure, quantity string) scale.Figure {
	t.Helper()
	for _, f := range figures {
		if f.Quantity == quantity {
			return f
		}
	}
	t.Fatalf("there is no figure %q", quantity)
	panic("unreachable")
}

// The whole experiment in small: all proxies take every change, and nothing is left behind.
func TestAllProxiesTakeTheChanges(t *testing.T) {
	env := scaletest.Env(t)
	p := smallPlan()
	p.proxies, p.rate = 3, 2
	result, err := runPlan(t.Context(), env, p)
	if err != nil {
		t.Fatal(err)
	}
	if f := figure(t, result.Figures, "proxies not in force"); f.Value != 0 || f.Samples != p.proxies*p.changes {
		t.Errorf("got %+v", f)
	}
	if f := figure(t, result.Figures, "time to in force, worst"); !(f.Value > 0) || f.Value >= p.patience.Seconds() {
		t.Errorf("got %+v", f)
	}
	if f := figure(t, result.Figures, "bytes to each proxy"); f.Value < 1000 {
		t.Errorf("got %+v", f)
	}
	if env.Budget.Processes() != 0 {
		t.Errorf("%d processes are left", env.Budget.Processes())
	}
}

// A proxy that is not told to read its file stands for one that never takes a change: it is given up, and said so.
func TestAProxyThatTakesNothingIsCounted(t *testing.T) {
	env := scaletest.Env(t)
	p := smallPlan()
	p.proxies, p.patience = 1, 100*time.Millisecond
	f, err := startFleet(t.Context(), env, p)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	took, err := f.await(t.Context(), f.proxies[0], f.addClass(), time.Now())
	if err != nil || took != p.patience {
		t.Fatalf("got %v, %v", took, err)
	}
	m := measurement{times: []time.Duration{time.Second, took, time.Millisecond}}
	figures := m.figures(p)
	if f := figure(t, figures, "proxies not in force"); f.Value != 2 || f.MeetsTarget() {
		t.Errorf("got %+v", f)
	}
}

func TestTheRunEndsWithItsContext(t *testing.T) {
	env := scaletest.Env(t)
	stop := errors.New("enough")
	ctx, cancel := context.WithCancelCause(t.Context())
	env.Progress = func(format string, _ ...any) {
		if format == "change %d of %d" {
			cancel(stop)
		}
	}
	if _, err := Experiment.Run(ctx, env); !errors.Is(err, stop) {
		t.Errorf("got %v", err)
	}
	if env.Budget.Processes() != 0 {
		t.Errorf("%d processes are left", env.Budget.Processes())
	}
}

func TestQuantiles(t *testing.T) {
	sorted := []float64{1, 2, 3, 4}
	for part, want := range map[float64]float64{0: 1, 0.25: 1, 0.5: 2, 0.51: 3, 0.99: 4, 1: 4} {
		if got := quantile(sorted, part); got != want {
			t.Errorf("%v: got %v, want %v", part, got, want)
		}
	}
	if got := quantile(nil, 0.5); got != 0 {
		t.Errorf("of none: %v", got)
	}
}
