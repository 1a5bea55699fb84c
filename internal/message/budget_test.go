package message

import "testing"

func TestBudgetLimitFollowsMemoryLimit(t *testing.T) {
	for name, c := range map[string]struct {
		memoryMB float64
		want     int64
	}{
		"none":        {0, 8 << 20},
		"small limit": {1, 2 << 20},
		"usual":       {100, 100 << 20 / 8},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			b.SetLimit(c.memoryMB)
			if got := b.Limit(); got != c.want {
				t.Errorf("got %d bytes, want %d", got, c.want)
			}
		})
	}
}

func TestReservationsShareBudget(t *testing.T) {
	var b Budget
	b.SetLimit(0)
	first, second := b.Reserve(), b.Reserve()
	if !first.Grow(b.Limit()-1) || second.Grow(2) || !second.Grow(1) {
		t.Error("the two reservations do not share the limit")
	}
	if b.InUse() != b.Limit() {
		t.Errorf("%d bytes in use of %d", b.InUse(), b.Limit())
	}
	first.Release()
	first.Release()
	if b.InUse() != 1 || first.Grow(1) {
		t.Errorf("after the first release: %d bytes in use, or a released reservation can grow", b.InUse())
	}
	second.Release()
	if b.InUse() != 0 {
		t.Errorf("after both releases: %d bytes in use", b.InUse())
	}
}

func TestNilReservationIsUnlimited(t *testing.T) {
	var r *Reservation
	if !r.Grow(1 << 40) {
		t.Error("a nil reservation has a limit")
	}
}
