package balancer

import (
	"math"
	"reflect"
	"testing"
)

// A new version that takes over under load began with no counts and full shares, and let through what the old one had
// learned to hold back.
func TestACopyThatTakesOverBeginsWhereTheOtherStood(t *testing.T) {
	old, _ := with(t, testSettings(), 3)
	old.tier.count, old.share, old.spill, old.errs = 7.5, 0.6, 0.4, 0.2
	old.classes[1].rule.count, old.classes[1].mean, old.classes[1].base = 3, 400_000, 300_000
	old.byID["s1"].whole.left, old.byID["s2"].slowness, old.byID["s0"].classes[2].left = 0.1, 2, 0.5
	l := old.ExportState()
	b, h := with(t, testSettings(), 2)
	b.ImportState(l)
	got := b.ExportState()
	delete(l.Servers, "s2") // not listed here
	if !reflect.DeepEqual(got, l) {
		t.Errorf("got %+v, want %+v", got, l)
	}
	b.tier.count = 1
	ask(b, h, start, "a", 0)
	if ask(b, h, start, "b", 0); h.last() != "refuse b" {
		t.Errorf("over the count: %q", h.last())
	}
}

// What makes no sense is left out, field by field; a server that has restarted since is known afresh.
func TestNonsenseIsNotLearned(t *testing.T) {
	b, _ := with(t, testSettings(), 2)
	fresh := b.ExportState()
	nan := math.NaN()
	for _, l := range []LearnedState{{}, {Tier: -1, Share: 1e9, Spill: nan, Errs: 2},
		{Tier: math.Inf(1), Classes: make([]LearnedClass, len(b.classes)), Servers: map[string]LearnedEndpoint{
			"s0": {Launched: 5, Slowness: 3, Left: 0.1, Classes: make([]float64, len(b.classes))},
			"s1": {Slowness: -1, Left: nan, Classes: make([]float64, len(b.classes))}}}} {
		b.ImportState(l)
		got := b.ExportState()
		// Counts of failures are the only figures for which 0 makes sense.
		if !reflect.DeepEqual(got, fresh) {
			t.Errorf("after %+v: got %+v", l, got)
		}
	}
}

// The configuration may have changed between the start of the old process and that of the new one.
func TestWhatIsHandedOverStaysWithItsName(t *testing.T) {
	s := named(testSettings())
	old, _ := with(t, s, 2)
	old.classes[0].rule.count, old.classes[1].rule.count, old.classes[2].rule.count = 20, 30, 40
	old.byID["s0"].health(old.classes[1]).left = 0.5
	l := old.ExportState()
	moved := s
	moved.Classes = []Class{s.Classes[2], s.Classes[1], {Name: "fresh", LatencyObjective: 1, Deadline: 1}}
	b, _ := with(t, moved, 2)
	b.ImportState(l)
	if one, two, fresh := b.classes[0].rule.count, b.classes[1].rule.count, b.classes[2].rule.count; one != 40 || two != 30 || fresh != startCount {
		t.Errorf("counts %v, %v, %v", one, two, fresh)
	}
	if health := b.byID["s0"]; health.health(b.classes[1]).left != 0.5 || health.health(b.classes[0]).left != 1 {
		t.Errorf("health %+v", health.classes)
	}
}

// An earlier version noted no names: its classes stand at their places.
func TestNotesWithoutNamesAreTakenByPlace(t *testing.T) {
	old, _ := with(t, testSettings(), 2)
	old.classes[1].rule.count = 30
	b, _ := with(t, named(testSettings()), 2)
	if b.ImportState(old.ExportState()); b.classes[1].rule.count != 30 || b.classes[0].rule.count != startCount {
		t.Errorf("counts %v, %v", b.classes[0].rule.count, b.classes[1].rule.count)
	}
}
