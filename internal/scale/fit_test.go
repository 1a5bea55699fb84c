package scale

import (
	"math"
	"testing"
)

func TestFitKnownPoints(t *testing.T) {
	for _, test := range []struct {
		name string
		x, y []float64
		want Line
	}{
		{"exact", []float64{33, 100, 330, 970}, []float64{10 + 33*0.25, 35, 10 + 330*0.25, 10 + 970*0.25}, Line{0.25, 10}},
		{"symmetric", []float64{0, 1, 2}, []float64{0, 3, 0}, Line{0, 1}},
		{"scattered", []float64{1, 2, 3, 4}, []float64{6, 5, 7, 10}, Line{1.4, 3.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Fit(test.x, test.y)
			if err != nil || math.Abs(got.Slope-test.want.Slope) > 1e-9 || math.Abs(got.Intercept-test.want.Intercept) > 1e-9 {
				t.Errorf("got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

func TestFitInvalidPointsGivesError(t *testing.T) {
	for _, test := range []struct {
		name string
		x, y []float64
	}{
		{"no points", []float64{}, []float64{}},
		{"one point", []float64{1}, []float64{1}},
		{"equal x", []float64{2, 2}, []float64{1, 3}},
		{"more x than y", []float64{1, 2}, []float64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if line, err := Fit(test.x, test.y); err == nil {
				t.Errorf("got %+v, want an error", line)
			}
		})
	}
}

func TestMedian(t *testing.T) {
	for _, test := range []struct {
		name string
		list []float64
		want float64
	}{
		{"empty", nil, 0},
		{"one", []float64{3}, 3},
		{"odd", []float64{9, 1, 5}, 5},
		{"even", []float64{4, 1, 100, 2}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Median(test.list); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
