package balancer

const (
	windowBuckets      = 64
	windowBucketLength = second / 8
	windowLength       = windowBuckets * windowBucketLength // 8 s
)

// slidingWindow counts events in a sliding window of up to windowLength.
type slidingWindow struct {
	counts [windowBuckets]int32 // ring buffer: bucket i is at index i % windowBuckets
	newest int64                // number of the newest bucket; bucket 0 starts at time 0
}

// add counts an event.
func (w *slidingWindow) add(now Microseconds) {
	w.advance(now)
	w.counts[w.newest%windowBuckets]++
}

// advance clears the buckets that have left the window.
func (w *slidingWindow) advance(now Microseconds) {
	current := int64(now / windowBucketLength)
	for i := max(w.newest+1, current-windowBuckets+1); i <= current; i++ {
		w.counts[i%windowBuckets] = 0
	}
	w.newest = max(w.newest, current)
}

// sum returns the number of events in the last span, which must be a multiple of windowBucketLength.
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
