package balancer

import (
	"fmt"
	"testing"
)

func TestHandleRequestReservesIdleConnections(t *testing.T) {
	for _, c := range []struct {
		connections, idle int
		sent              bool
	}{
		{0, 0, true}, // clients can open more
		{1, 0, true},
		{2, 0, false},
		{2, 1, true},
		{5, 1, false},
		{5, 2, true},
		{24, 2, false},
		{24, 3, true},
		{80, 9, false},
		{80, 10, true},
	} {
		t.Run(fmt.Sprintf("%d idle of %d", c.idle, c.connections), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			b.HandleRequest(testStart, h, Request{ID: "r", Deadline: testStart + second,
				ClientConnections: c.connections, IdleConnections: c.idle})
			want := "reject r"
			if c.sent {
				want = "send r"
			}
			if got := h.last(); len(got) < len(want) || got[:len(want)] != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}
