package ramp

import (
	"math"
	"os"
	"testing"
	"testing/synctest"

	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

const testSeed = 1

func TestMain(m *testing.M) { os.Exit(scaletest.MainInMemory(m)) }

// measureOnce runs one scenario of the small size in a synctest bubble.
func measureOnce(t *testing.T, c scenario) (r measurement) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		got, err := measure(t.Context(), smallSize, c, testSeed)
		if err != nil {
			t.Fatal(err)
		}
		r = *got
		r.counts.ArrivalsByClass = nil // there is one class only
	})
	return r
}

func TestColdBackendsSustainTheirLoad(t *testing.T) {
	for _, c := range []scenario{
		{callers: 33, load: 0.6, overloadFactor: 3},
		{callers: 33, coldZone: true, load: 0.8, overloadFactor: 1.5},
	} {
		t.Run(c.String(), func(t *testing.T) {
			m := measureOnce(t, c)
			counts := m.counts
			if counts.ColdPeakLoad > 1 || counts.ColdPeakSustainableRatio <= 0 || counts.OverloadCrashes != 0 ||
				counts.ColdArrivals == 0 || counts.Reset == 0 {
				t.Errorf("counts %+v", counts)
			}
			if m.before.servedRatio() < 0.99 || m.outage.servedRatio() < 0.95 || m.recovery.servedRatio() < 0.99 {
				t.Errorf("served %v before, %v in the outage, %v after it", m.before, m.outage, m.recovery)
			}
			if load := figures(smallSize, c, &m)[0].Value; math.Abs(load-c.load) > 0.05 {
				t.Errorf("the load was %.2f", load)
			}
			if m.before.served == 0 || m.outage.served == 0 || m.recovery.served == 0 {
				t.Errorf("no calls: %+v", m)
			}
		})
	}
}

func TestScenarioWithSameSeedRepeatsMeasurement(t *testing.T) {
	c := scenario{callers: 33, coldZone: true, load: 0.6, overloadFactor: 3}
	if first, second := measureOnce(t, c), measureOnce(t, c); first.before != second.before || first.outage != second.outage ||
		first.recovery != second.recovery || first.counts.ColdPeakLoad != second.counts.ColdPeakLoad ||
		first.counts.Arrivals != second.counts.Arrivals || first.counts.Served != second.counts.Served {
		t.Errorf("two runs with one seed differ:\n%+v\n%+v", first, second)
	}
}

// The backend can sustain next to nothing.
func TestFiguresShowOverloadedBackend(t *testing.T) {
	c := scenario{callers: 33, load: 0.6, overloadFactor: 0.02}
	r := measureOnce(t, c)
	if r.counts.OverloadCrashes != 1 || r.counts.ColdPeakLoad <= 1 {
		t.Errorf("counts %+v", r.counts)
	}
	missed := 0
	for _, f := range figures(smallSize, c, &r) {
		if !f.MeetsTarget() {
			missed++
		}
	}
	if missed != 2 {
		t.Errorf("%d figures miss their targets; want the peak load and the overload", missed)
	}
}

func TestRunStaysWithinTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, err := Experiment.Run(t.Context(), scaletest.EnvInMemory(testSeed))
		if err != nil {
			t.Fatal(err)
		}
		scaletest.CheckFigures(t, result.Figures, scale.HollowProxy)
		for _, f := range result.Figures {
			if !f.MeetsTarget() {
				t.Errorf("figure %+v misses its target", f)
			}
		}
		if len(result.Figures) != 7*len(scenarios) {
			t.Errorf("%d figures for %d cases", len(result.Figures), len(scenarios))
		}
	})
}

func TestRunEndsWithContext(t *testing.T) { scaletest.CheckEndOfContext(t, Experiment, testSeed) }
