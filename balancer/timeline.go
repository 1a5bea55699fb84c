package balancer

import "slices"

// timeline holds the times of events, oldest first.
type timeline []Microseconds

// add records an event and forgets those that are older than span.
func (l *timeline) add(now, span Microseconds) {
	*l = append(*l, now)
	expired, _ := slices.BinarySearch(*l, now-span)
	*l = (*l)[expired:]
}

// since counts the events from a time on.
func (l timeline) since(from Microseconds) float64 {
	before, _ := slices.BinarySearch(l, from)
	return float64(len(l) - before)
}
