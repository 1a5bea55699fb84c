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

// measureSmall runs one scenario with smallPlan in a synctest bubble.
func measureSmall(t *testing.T, c scenario) (m measurement) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		got, err := runScenario(t.Context(), smallPlan, c, testSeed)
		if err != nil {
			t.Fatal(err)
		}
		m = *got
		m.counts.ArrivalsByClass = nil // there is one class only
	})
	return m
}

func TestColdBackendsSustainTheirLoad(t *testing.T) {
	for _, c := range []scenario{
		{proxies: 33, load: 0.6, overloadFactor: 3},
		{proxies: 33, coldZone: true, load: 0.8, overloadFactor: 1.5},
	} {
		t.Run(c.String(), func(t *testing.T) {
			m := measureSmall(t, c)
			counts := m.counts
			if counts.ColdPeakThresholdRatio > 1 || counts.ColdPeakSustainableRatio <= 0 ||
				counts.OverloadCrashes != 0 || counts.ColdArrivals == 0 || counts.Reset == 0 {
				t.Errorf("got counts %+v", counts)
			}
			if m.before.servedRatio() < 0.99 || m.outage.servedRatio() < 0.95 || m.recovery.servedRatio() < 0.99 {
				t.Errorf("got calls %v before, %v during and %v after the outage", m.before, m.outage, m.recovery)
			}
			if load := figures(smallPlan, c, &m)[0].Value; math.Abs(load-c.load) > 0.05 {
				t.Errorf("got load %.2f", load)
			}
			if m.before.served == 0 || m.outage.served == 0 || m.recovery.served == 0 {
				t.Errorf("no call was served in at least one phase: %+v", m)
			}
		})
	}
}

func TestScenarioWithSameSeedRepeatsMeasurement(t *testing.T) {
	c := scenario{proxies: 33, coldZone: true, load: 0.6, overloadFactor: 3}
	if first, second := measureSmall(t, c), measureSmall(t, c); first.before != second.before ||
		first.outage != second.outage || first.recovery != second.recovery ||
		first.counts.ColdPeakThresholdRatio != second.counts.ColdPeakThresholdRatio ||
		first.counts.Arrivals != second.counts.Arrivals || first.counts.Served != second.counts.Served {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", first, second)
	}
}

// The overload factor is so low that the restarted backend crashes under almost any load.
func TestFiguresShowOverloadedBackend(t *testing.T) {
	c := scenario{proxies: 33, load: 0.6, overloadFactor: 0.02}
	m := measureSmall(t, c)
	if m.counts.OverloadCrashes != 1 || m.counts.ColdPeakThresholdRatio <= 1 {
		t.Errorf("got counts %+v", m.counts)
	}
	missed := 0
	for _, f := range figures(smallPlan, c, &m) {
		if !f.MeetsTarget() {
			missed++
		}
	}
	if missed != 2 {
		t.Errorf("%d figures miss their targets, want 2: the peak load and the number of crashes", missed)
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
			t.Errorf("got %d figures for %d scenarios, want 7 per scenario", len(result.Figures), len(scenarios))
		}
	})
}

func TestRunEndsWithContext(t *testing.T) { scaletest.CheckEndOfContext(t, Experiment, testSeed) }
