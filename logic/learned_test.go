package logic

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
	l := old.Learned()
	b, h := with(t, testSettings(), 2)
	b.Learn(l)
	got := b.Learned()
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
	fresh := b.Learned()
	nan := math.NaN()
	for _, l := range []Learned{{}, {Tier: -1, Share: 1e9, Spill: nan, Errs: 2},
		{Tier: math.Inf(1), Classes: make([]LearnedClass, len(b.classes)), Servers: map[string]LearnedServer{
			"s0": {Launched: 5, Slowness: 3, Left: 0.1, Classes: make([]float64, len(b.classes))},
			"s1": {Slowness: -1, Left: nan, Classes: make([]float64, len(b.classes))}}}} {
		b.Learn(l)
		got := b.Learned()
		// Counts of failures are the only figures for which 0 makes sense.
		if !reflect.DeepEqual(got, fresh) {
			t.Errorf("after %+v: got %+v", l, got)
		}
	}
}
