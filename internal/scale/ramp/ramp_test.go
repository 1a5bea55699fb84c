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

// playOnce plays one small service on a clock of its own.
func playOnce(t *testing.T, c circumstances) (r record) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		got, err := play(t.Context(), smallSize, c, testSeed)
		if err != nil {
			t.Fatal(err)
		}
		r = *got
		r.counts.ArrivalsByClass = nil // there is but one
	})
	return r
}

func TestColdBackendsBearWhatTheyGet(t *testing.T) {
	for _, c := range []circumstances{
		{callers: 33, load: 0.6, tipMultiple: 3},
		{callers: 33, wholeZone: true, load: 0.8, tipMultiple: 1.5},
	} {
		r := playOnce(t, c)
		if k := r.counts; k.ColdPeakLoad > 1 || k.ColdPeakMeanLoad <= 0 || k.Overloaded != 0 || k.ColdArrivals == 0 || k.Reset == 0 {
			t.Errorf("%v: counts %+v", c, k)
		}
		if r.before.servedPart() < 0.99 || r.outage.servedPart() < 0.95 || r.cold.servedPart() < 0.99 {
			t.Errorf("%v: served %v before, %v in the outage, %v after it", c, r.before, r.outage, r.cold)
		}
		if load := figures(smallSize, c, &r)[0].Value; math.Abs(load-c.load) > 0.05 {
			t.Errorf("%v: the load was %.2f", c, load)
		}
		if r.before.served == 0 || r.outage.served == 0 || r.cold.served == 0 {
			t.Errorf("%v: no calls: %+v", c, r)
		}
	}
}

func TestSameSeedSameRecord(t *testing.T) {
	c := circumstances{callers: 33, wholeZone: true, load: 0.6, tipMultiple: 3}
	if first, second := playOnce(t, c), playOnce(t, c); first.before != second.before || first.outage != second.outage ||
		first.cold != second.cold || first.counts.ColdPeakLoad != second.counts.ColdPeakLoad ||
		first.counts.Arrivals != second.counts.Arrivals || first.counts.Served != second.counts.Served {
		t.Errorf("two plays of one seed differ:\n%+v\n%+v", first, second)
	}
}

// A backend that bears next to nothing falls, and the figures show it.
func TestFallIsShown(t *testing.T) {
	c := circumstances{callers: 33, load: 0.6, tipMultiple: 0.02}
	r := playOnce(t, c)
	if r.counts.Overloaded != 1 || r.counts.ColdPeakLoad <= 1 {
		t.Errorf("counts %+v", r.counts)
	}
	missed := 0
	for _, f := range figures(smallSize, c, &r) {
		if !f.MeetsTarget() {
			missed++
		}
	}
	if missed != 2 {
		t.Errorf("%d figures miss their targets; want the worst window and the fall", missed)
	}
}

func TestExperiment(t *testing.T) {
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
		if len(result.Figures) != 7*len(cases) {
			t.Errorf("%d figures for %d cases", len(result.Figures), len(cases))
		}
	})
}

func TestEndOfContext(t *testing.T) { scaletest.CheckEndOfContext(t, Experiment, testSeed) }
