package timing

import (
	"container/heap"

	"baylock/internal/microtime"
)

// notQueued is the position of a timer that is not in a queue.
const notQueued = -1

// Timer is an entry of a Queue: a value and the time of a Clock at which it is due. Timers are created by NewTimer.
type Timer[T any] struct {
	Value    T
	due      microtime.Microseconds
	position int
}

// NewTimer returns a timer that is not in a queue yet.
func NewTimer[T any](due microtime.Microseconds, value T) *Timer[T] {
	return &Timer[T]{Value: value, due: due, position: notQueued}
}

// Due returns when the timer is due.
func (t *Timer[T]) Due() microtime.Microseconds { return t.due }

// Queue is a priority queue of timers, ordered by the time at which they are due. A timer can be in only one queue at a
// time. The zero Queue is empty and ready to use. A Queue is not safe for concurrent use.
type Queue[T any] struct{ timers timerHeap[T] }

// Len returns the number of timers in the queue.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Add adds a timer that is not in a queue.
func (q *Queue[T]) Add(t *Timer[T]) { heap.Push(&q.timers, t) }

// Remove removes a timer if it is in the queue.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t.position != notQueued {
		heap.Remove(&q.timers, t.position)
	}
}

// Reschedule changes the time at which a timer is due if it is in the queue.
func (q *Queue[T]) Reschedule(t *Timer[T], due microtime.Microseconds) {
	if t.position != notQueued {
		t.due = due
		heap.Fix(&q.timers, t.position)
	}
}

// Next returns the time at which the next timer is due; ok is false if the queue is empty.
func (q *Queue[T]) Next() (due microtime.Microseconds, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// TakeDue removes and returns the next timer if it is due by now; otherwise it returns nil.
func (q *Queue[T]) TakeDue(now microtime.Microseconds) *Timer[T] {
	if due, ok := q.Next(); !ok || due > now {
		return nil
	}
	return heap.Pop(&q.timers).(*Timer[T])
}

// timerHeap implements heap.Interface, with the timer that is due next as the root.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.position = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.position = nil, notQueued
	*h = old[:len(old)-1]
	return last
}
