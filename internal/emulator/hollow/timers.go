package hollow

import "container/heap"

// timer is an entry of the loop's timers: a token of the module's, the final end of a request, or the next drawn call.
type timer struct {
	at      int64
	kind    timerKind
	token   string   // of a moduleTimer
	request *request // of a requestExpiry
	place   int      // in the heap; -1 once it is out
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	requestExpiry
	drawnCall
)

// timerHeap is a heap.Interface with the next timer first.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.place = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.place = nil, -1
	*h = old[:len(old)-1]
	return last
}

// add puts a timer in.
func (h *timerHeap) add(t *timer) { heap.Push(h, t) }

// remove takes a timer out, unless it is out already.
func (h *timerHeap) remove(t *timer) {
	if t.place >= 0 {
		heap.Remove(h, t.place)
	}
}

// due takes out the next timer that is due by now, or returns nil.
func (h *timerHeap) due(now int64) *timer {
	if len(*h) == 0 || (*h)[0].at > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}
