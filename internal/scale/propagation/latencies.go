package propagation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency    = time.Hour
	significantDigits = 4
)

// latencyHistogram is a histogram of latencies in microseconds, with four significant digits.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)}
}

func (l *latencyHistogram) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d, 0), longestLatency).Microseconds()) // the value is in range
}

func (l *latencyHistogram) count() int { return int(l.histogram.TotalCount()) }

// quantile returns the q quantile in seconds; a q of 1 gives the maximum.
func (l *latencyHistogram) quantile(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(100*q)) / float64(time.Second/time.Microsecond)
}
