package scale

import (
	"fmt"
	"slices"
)

// Line is a straight line through measured points.
type Line struct {
	Slope, Intercept float64
}

// Fit returns the least-squares line through the points (x[i], y[i]). It returns an error if there are fewer than two
// different values of x.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) {
		return Line{}, fmt.Errorf("fit: %d values of x, but %d values of y", len(x), len(y))
	}
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if !(variance > 0) {
		return Line{}, fmt.Errorf("fit: no two different values of x among %d", len(x))
	}
	slope := covariance / variance
	return Line{Slope: slope, Intercept: meanY - slope*meanX}, nil
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// Median returns the median of a list, or 0 if the list is empty.
func Median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
