package scale

import (
	"math"
	"testing"
)

func TestTheLineThroughKnownPoints(t *testing.T) {
	for _, c := range []struct {
		x, y []float64
		want Line
	}{
		{[]float64{33, 100, 330, 970}, []float64{10 + 33*0.25, 35, 10 + 330*0.25, 10 + 970*0.25}, Line{0.25, 10}},
		{[]float64{0, 1, 2}, []float64{0, 3, 0}, Line{0, 1}},
		{[]float64{1, 2, 3, 4}, []float64{6, 5, 7, 10}, Line{1.4, 3.5}},
	} {
		got, err := Fit(c.x, c.y)
		if err != nil || math.Abs(got.Slope-c.want.Slope) > 1e-9 || math.Abs(got.Intercept-c.want.Intercept) > 1e-9 {
			t.Errorf("through %v, %v: got %+v, %v; want %+v", c.x, c.y, got, err, c.want)
		}
	}
}

func TestNoLineIsAnError(t *testing.T) {
	for _, c := range [][2][]float64{{{}, {}}, {{1}, {1}}, {{2, 2}, {1, 3}}, {{1, 2}, {1}}} {
		if line, err := Fit(c[0], c[1]); err == nil {
			t.Errorf("through %v: got %+v", c, line)
		}
	}
}

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		list []float64
		want float64
	}{{nil, 0}, {[]float64{3}, 3}, {[]float64{9, 1, 5}, 5}, {[]float64{4, 1, 100, 2}, 3}} {
		if got := Median(c.list); got != c.want {
			t.Errorf("of %v: got %v, want %v", c.list, got, c.want)
		}
	}
}
