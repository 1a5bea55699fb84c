package balancer

import "testing"

func TestSlidingWindowSumsLastSpan(t *testing.T) {
	var w slidingWindow
	for i := range Microseconds(10) {
		w.add(testStart + i*second)
	}
	last := testStart + 9*second
	for _, c := range []struct {
		name      string
		now, span Microseconds
		want      float64
	}{
		{"one second", last, second, 1},
		{"four seconds", last, 4 * second, 4},
		{"complete window", last, windowLength, 8},
		{"half of the window later", last + windowLength/2, windowLength, 4},
		{"after a complete window", last + windowLength, windowLength, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := w.sum(c.now, c.span); got != c.want {
				t.Errorf("sum is %v, want %v", got, c.want)
			}
		})
	}
}
