package balancer

const (
	windowBuckets      = 64
	windowBucketLength = second / 8
	windowLength       = windowBuckets * windowBucketLength
)

// slidingWindow counts events over a sliding time of up to windowLength.
type slidingWindow struct {
	counts [windowBuckets]int32 // a ring: bucket i of time is at i % windowBuckets
	newest int64                // the newest bucket, counted from time 0
}

// add counts an event.
func (w *slidingWindow) add(now Microseconds) {
	w.advance(now)
	w.counts[w.newest%windowBuckets]++
}

// advance empties the buckets that have left the window.
func (w *slidingWindow) advance(now Microseconds) {
	current := int64(now / windowBucketLength)
	for i := max(w.newest+1, current-windowBuckets+1); i <= current; i++ {
		w.counts[i%windowBuckets] = 0
	}
	w.newest = max(w.newest, current)
}

// sum returns the number of events in the last span, which is a multiple of windowBucketLength.
func (w *slidingWindow) sum(now, span Microseconds) float64 {
	w.advance(now)
	total := int32(0)
	for i := range int64(span / windowBucketLength) {
		if w.newest-i >= 0 {
			total += w.counts[(w.newest-i)%windowBuckets]
		}
	}
	return float64(total)
}
