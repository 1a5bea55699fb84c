package balancer

import (
	"slices"
	"testing"
)

func TestTimelineForgetsEventsOlderThanSpan(t *testing.T) {
	var l timeline
	for _, at := range []Microseconds{10, 20, 20, 30} {
		l.add(at, 10)
	}
	if want := (timeline{20, 20, 30}); !slices.Equal(l, want) {
		t.Errorf("kept %v, want %v", l, want)
	}
}

func TestTimelineCountsEventsFromTimeOn(t *testing.T) {
	l := timeline{10, 20, 20, 30}
	for from, want := range map[Microseconds]float64{0: 4, 10: 4, 11: 3, 20: 3, 21: 1, 31: 0} {
		if got := l.countSince(from); got != want {
			t.Errorf("countSince(%d) is %v, want %v", from, got, want)
		}
	}
}
