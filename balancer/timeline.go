package balancer

import "slices"

// timeline holds the times of events, oldest first.
type timeline []Microseconds

// add records an event and discards events older than span.
func (l *timeline) add(now, span Microseconds) {
	*l = append(*l, now)
	expired, _ := slices.BinarySearch(*l, now-span)
	*l = (*l)[expired:]
}

// countSince returns the number of events at or after the given time.
func (l timeline) countSince(from Microseconds) float64 {
	before, _ := slices.BinarySearch(l, from)
	return float64(len(l) - before)
}
