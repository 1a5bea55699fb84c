package message

import "testing"

func TestBudgetLimitFollowsMemoryLimit(t *testing.T) {
	for name, c := range map[string]struct {
		memoryMB      float64
		bodies, heads int64 // bytes
	}{
		"none":        {0, 8 << 20, 4 << 20},
		"small limit": {1, 2 << 20, 1 << 20},
		"usual":       {100, 100 << 20 / 8, 100 << 20 / 16},
	} {
		t.Run(name, func(t *testing.T) {
			bodies, heads := NewBodyBudget(), NewHeadBudget()
			bodies.SetLimit(c.memoryMB)
			heads.SetLimit(c.memoryMB)
			if bodies.Limit() != c.bodies || heads.Limit() != c.heads {
				t.Errorf("got %d and %d bytes, want %d and %d", bodies.Limit(), heads.Limit(), c.bodies, c.heads)
			}
		})
	}
}

func TestReservationsShareBudget(t *testing.T) {
	b := NewBodyBudget()
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

func TestReservationIsResized(t *testing.T) {
	b := NewHeadBudget()
	b.SetLimit(0)
	r := b.Reserve()
	for _, size := range []int64{b.Limit(), 1, 0, 7} {
		if !r.Resize(size) || b.InUse() != size {
			t.Errorf("%d bytes in use, want %d", b.InUse(), size)
		}
	}
	if r.Resize(b.Limit()+1) || b.InUse() != 7 {
		t.Errorf("resized beyond the limit: %d bytes in use", b.InUse())
	}
	r.Release()
	if r.Resize(1) || b.InUse() != 0 {
		t.Errorf("a released reservation was resized: %d bytes in use", b.InUse())
	}
}

func TestReservationOverReducedLimitCanShrink(t *testing.T) {
	b := NewHeadBudget()
	b.SetLimit(0)
	r := b.Reserve()
	full := b.Limit()
	r.Resize(full)
	b.SetLimit(1)
	if b.Limit() >= full {
		t.Fatalf("the limit is still %d bytes", b.Limit())
	}
	if r.Resize(full+1) || !r.Resize(full-1) {
		t.Error("the reservation grew beyond the limit, or could not shrink")
	}
}

func TestNilReservationIsUnlimited(t *testing.T) {
	var budget *Budget
	r := budget.Reserve()
	if !r.Grow(1<<40) || !r.Resize(1<<41) {
		t.Error("a nil reservation has a limit")
	}
	r.Release()
}
