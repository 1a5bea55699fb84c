package balancer

import (
	"math"
	"reflect"
	"testing"
)

func TestImportStateRestoresExportedState(t *testing.T) {
	old, _ := newWithEndpoints(t, testSettings(), 3)
	old.tierLimit.max, old.quotas.multiplier, old.zones.crossZoneWeight, old.outliers.errorRate = 7.5, 0.6, 0.4, 0.2
	old.classes[1].limit.max = 3
	old.classes[1].latency.mean, old.classes[1].latency.unloaded = 400_000, 300_000
	old.endpoints.byID["s0"].perClass[2].factor = 0.5
	old.endpoints.byID["s1"].overall.factor = 0.1
	old.endpoints.byID["s2"].relativeLatency = 2
	l := old.ExportState()
	b, h := newWithEndpoints(t, testSettings(), 2)
	b.ImportState(l)
	got := b.ExportState()
	delete(l.Endpoints, "s2") // not listed here
	if !reflect.DeepEqual(got, l) {
		t.Errorf("ExportState after ImportState:\n got %+v\nwant %+v", got, l)
	}
	b.tierLimit.max = 1
	sendRequest(b, h, testStart, "a", 0)
	if sendRequest(b, h, testStart, "b", 0); h.last() != "reject b" {
		t.Errorf("last action for a request over the limit is %q, want a rejection", h.last())
	}
}

// ImportState skips invalid values one by one, and endpoints that have restarted. 0 is valid for error rates
// only.
func TestImportStateSkipsInvalidValues(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 2)
	fresh := b.ExportState()
	nan := math.NaN()
	classes := len(b.classes)
	for _, c := range []struct {
		name    string
		learned LearnedState
	}{
		{"zero", LearnedState{}},
		{"out of range", LearnedState{TierLimit: -1, QuotaMultiplier: 1e9, CrossZoneWeight: nan, ErrorRate: 2}},
		{"invalid endpoints", LearnedState{TierLimit: math.Inf(1), Classes: make([]LearnedClass, classes),
			Endpoints: map[string]LearnedEndpoint{
				"s0": {StartedAt: 5, RelativeLatency: 3, Health: 0.1, ClassHealth: make([]float64, classes)},
				"s1": {RelativeLatency: -1, Health: nan, ClassHealth: make([]float64, classes)},
			}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b.ImportState(c.learned)
			if got := b.ExportState(); !reflect.DeepEqual(got, fresh) {
				t.Errorf("after ImportState of %+v: got %+v, want %+v", c.learned, got, fresh)
			}
		})
	}
}

// The configuration may have changed between the starts of the old and the new process.
func TestImportStateMatchesClassesByName(t *testing.T) {
	s := named(testSettings())
	old, _ := newWithEndpoints(t, s, 2)
	old.classes[0].limit.max, old.classes[1].limit.max, old.classes[2].limit.max = 20, 30, 40
	old.endpoints.byID["s0"].classHealth(old.classes[1]).factor = 0.5
	l := old.ExportState()
	moved := s
	moved.Classes = []Class{s.Classes[2], s.Classes[1], {Name: "fresh", LatencyObjective: 1, Deadline: 1}}
	b, _ := newWithEndpoints(t, moved, 2)
	b.ImportState(l)
	for i, want := range []float64{40, 30, initialLimit} {
		if got := b.classes[i].limit.max; got != want {
			t.Errorf("limit of class %d: %v, want %v", i, got, want)
		}
	}
	for i, want := range []float64{1, 0.5} {
		if got := b.endpoints.byID["s0"].classHealth(b.classes[i]).factor; got != want {
			t.Errorf("health of s0 for class %d: %v, want %v", i, got, want)
		}
	}
}

// Earlier versions did not export class names.
func TestImportStateMatchesUnnamedClassesByIndex(t *testing.T) {
	old, _ := newWithEndpoints(t, testSettings(), 2)
	old.classes[1].limit.max = 30
	b, _ := newWithEndpoints(t, named(testSettings()), 2)
	b.ImportState(old.ExportState())
	if b.classes[1].limit.max != 30 || b.classes[0].limit.max != initialLimit {
		t.Errorf("limits are %v and %v, want %v and 30",
			b.classes[0].limit.max, b.classes[1].limit.max, initialLimit)
	}
}
