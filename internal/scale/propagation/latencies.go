package propagation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency     = time.Hour
	significantFigures = 4
)

// latencies is a histogram of latencies in microseconds, with four significant digits.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, longestLatency.Microseconds(), significantFigures)}
}

func (l *latencies) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d, 0), longestLatency).Microseconds()) // the value is in range
}

func (l *latencies) count() int { return int(l.histogram.TotalCount()) }

// quantile returns a quantile in seconds; 1 is the maximum.
func (l *latencies) quantile(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(100*q)) / float64(time.Second/time.Microsecond)
}
