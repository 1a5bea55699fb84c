package reload

import (
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
	t.Fatalf("no figure %q", quantity)
	panic("unreachable")
}

func TestRunAppliesChangesAtAllProxies(t *testing.T) {
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
	if f := figure(t, result.Figures, "time to in force, worst"); !(f.Value > 0) || f.Value >= p.timeout.Seconds() {
		t.Errorf("got %+v", f)
	}
	if f := figure(t, result.Figures, "bytes to each proxy"); f.Value < 1000 {
		t.Errorf("got %+v", f)
	}
	if env.Budget.Processes() != 0 {
		t.Errorf("%d processes are still running", env.Budget.Processes())
	}
}

// The proxy receives no signal, so it never applies the change.
func TestProxyWithoutReloadCountsAsNotInForce(t *testing.T) {
	env := scaletest.Env(t)
	p := smallPlan()
	p.proxies, p.timeout = 1, 100*time.Millisecond
	f, err := startFleet(t.Context(), env, p)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	took, err := f.waitForClass(t.Context(), f.proxies[0], f.addClass(), time.Now())
	if err != nil || took != p.timeout {
		t.Fatalf("got time %v, error %v", took, err)
	}
	m := measurement{times: []time.Duration{time.Second, took, time.Millisecond}}
	figures := m.figures(p)
	if f := figure(t, figures, "proxies not in force"); f.Value != 2 || f.MeetsTarget() {
		t.Errorf("got %+v", f)
	}
}

func TestRunEndsWithContext(t *testing.T) {
	scaletest.CheckCancelledRun(t, Experiment, "change %d of %d")
}

func TestQuantile(t *testing.T) {
	sorted := []float64{1, 2, 3, 4}
	for _, test := range []struct {
		name     string
		sorted   []float64
		fraction float64
		want     float64
	}{
		{"minimum", sorted, 0, 1},
		{"first value", sorted, 0.25, 1},
		{"median", sorted, 0.5, 2},
		{"above median", sorted, 0.51, 3},
		{"p99", sorted, 0.99, 4},
		{"maximum", sorted, 1, 4},
		{"no values", nil, 0.5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := quantile(test.sorted, test.fraction); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
