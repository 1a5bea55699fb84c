package balancer

import (
	"math"
	"reflect"
	"testing"
)

func TestImportStateRestoresExportedState(t *testing.T) {
	old, _ := newWithEndpoints(t, testSettings(), 3)
	old.tierLimit.max, old.quotas.multiplier, old.zones.crossZoneWeight, old.outliers.errorRate = 7.5, 0.6, 0.4, 0.2
	old.classes[1].limit.max, old.classes[1].latency.mean, old.classes[1].latency.unloaded = 3, 400_000, 300_000
	old.endpoints.byID["s1"].overall.factor, old.endpoints.byID["s2"].relativeLatency, old.endpoints.byID["s0"].perClass[2].factor = 0.1, 2, 0.5
	l := old.ExportState()
	b, h := newWithEndpoints(t, testSettings(), 2)
	b.ImportState(l)
	got := b.ExportState()
	delete(l.Endpoints, "s2") // not listed here
	if !reflect.DeepEqual(got, l) {
		t.Errorf("got %+v, want %+v", got, l)
	}
	b.tierLimit.max = 1
	sendRequest(b, h, testStart, "a", 0)
	if sendRequest(b, h, testStart, "b", 0); h.last() != "reject b" {
		t.Errorf("over the count: %q", h.last())
	}
}

// TestImportStateLeavesOutInvalidValues checks each figure by itself, and that an endpoint which has restarted is not known.
func TestImportStateLeavesOutInvalidValues(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 2)
	fresh := b.ExportState()
	nan := math.NaN()
	for _, l := range []LearnedState{{}, {TierLimit: -1, QuotaMultiplier: 1e9, CrossZoneWeight: nan, ErrorRate: 2},
		{TierLimit: math.Inf(1), Classes: make([]LearnedClass, len(b.classes)), Endpoints: map[string]LearnedEndpoint{
			"s0": {StartedAt: 5, RelativeLatency: 3, Health: 0.1, ClassHealth: make([]float64, len(b.classes))},
			"s1": {RelativeLatency: -1, Health: nan, ClassHealth: make([]float64, len(b.classes))}}}} {
		b.ImportState(l)
		got := b.ExportState()
		// Counts of failures are the only figures for which 0 makes sense.
		if !reflect.DeepEqual(got, fresh) {
			t.Errorf("after %+v: got %+v", l, got)
		}
	}
}

// TestImportStateMatchesClassesByName changes the configuration between the start of the old process and that of the new one.
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
	if one, two, fresh := b.classes[0].limit.max, b.classes[1].limit.max, b.classes[2].limit.max; one != 40 || two != 30 || fresh != initialLimit {
		t.Errorf("counts %v, %v, %v", one, two, fresh)
	}
	if health := b.endpoints.byID["s0"]; health.classHealth(b.classes[1]).factor != 0.5 || health.classHealth(b.classes[0]).factor != 1 {
		t.Errorf("health %+v", health.perClass)
	}
}

// TestImportStateMatchesUnnamedClassesByIndex reads the state of an earlier version, which had no names.
func TestImportStateMatchesUnnamedClassesByIndex(t *testing.T) {
	old, _ := newWithEndpoints(t, testSettings(), 2)
	old.classes[1].limit.max = 30
	b, _ := newWithEndpoints(t, named(testSettings()), 2)
	if b.ImportState(old.ExportState()); b.classes[1].limit.max != 30 || b.classes[0].limit.max != initialLimit {
		t.Errorf("counts %v, %v", b.classes[0].limit.max, b.classes[1].limit.max)
	}
}
