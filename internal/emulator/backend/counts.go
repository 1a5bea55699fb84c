package backend

import (
	"slices"
	"sync"
	"time"

	"baylock/balancer"
)

// Counts is what a tier has counted. An attempt that arrived and is neither served nor failed, turned away, abandoned
// or reset is still there.
type Counts struct {
	Arrived        int64 // attempts whose last byte has come
	ArrivedByClass []int64
	Served         int64
	Failed         int64 // answered with an error, its own or the next tier's
	TurnedAway     int64 // never begun: the queue was full
	Abandoned      int64 // given up by the proxy
	Reset          int64 // cut off by the end of the process
	InFlight       int   // at the backends now, waiting ones included
	InFlightPeak   int
	ForbiddenRuns  int64 // runs of a call beyond its first that its class does not allow

	ColdArrived   int64   // attempts that came to backends while these were cold
	ColdWorst     float64 // the most that a cold backend got in a window, in parts of that at which it falls
	ColdWorstMean float64 // the same in parts of TipMultiple times its capacity, with nothing allowed for chance
	Fallen        int     // backends that have fallen over while cold
}

// books keeps the Counts of a tier.
type books struct {
	mu     sync.Mutex
	counts Counts
	runs   runLog
}

func newBooks(classes []balancer.Class) *books {
	return &books{counts: Counts{ArrivedByClass: make([]int64, len(classes))}, runs: newRunLog(classes)}
}

func (b *books) snapshot() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.ArrivedByClass = slices.Clone(counts.ArrivedByClass)
	return counts
}

func (b *books) arrived(class int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Arrived++
	if class >= 0 && class < len(b.counts.ArrivedByClass) {
		b.counts.ArrivedByClass[class]++
	}
	b.counts.InFlight++
	b.counts.InFlightPeak = max(b.counts.InFlightPeak, b.counts.InFlight)
}

// ended counts the end of an attempt that has arrived.
func (b *books) ended(status balancer.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.InFlight--
	switch status {
	case balancer.OK:
		b.counts.Served++
	case balancer.Error:
		b.counts.Failed++
	case balancer.Rejected:
		b.counts.TurnedAway++
	case balancer.Reset:
		b.counts.Reset++
	default:
		b.counts.Abandoned++
	}
}

// began counts the beginning of a call's work.
func (b *books) began(id string, class int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.runs.begin(id, class, now) {
		b.counts.ForbiddenRuns++
	}
}

// cold counts an attempt at a cold backend, which falls where the load is above 1.
func (b *books) cold(load, loadOfMean float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.ColdArrived++
	b.counts.ColdWorst = max(b.counts.ColdWorst, load)
	b.counts.ColdWorstMean = max(b.counts.ColdWorstMean, loadOfMean)
	if load > 1 {
		b.counts.Fallen++
	}
}

// runLog remembers when calls that may not simply be repeated were first run, for as long as a repeat may come. All
// backends of the tier drop the repeats of a keyed call between them, within its class's window.
type runLog struct {
	classes []balancer.Class
	keep    time.Duration
	first   map[string]time.Time
	order   []string // IDs by the time of their first run
}

func newRunLog(classes []balancer.Class) runLog {
	log := runLog{classes: classes, first: map[string]time.Time{}}
	for _, c := range classes {
		log.keep = max(log.keep, max(2*c.Deadline, 2*c.DedupWindow).Duration())
	}
	return log
}

// begin takes a run and tells whether the call's class allows it.
func (l *runLog) begin(id string, class int, now time.Time) bool {
	if class < 0 || class >= len(l.classes) || l.classes[class].Idempotency == balancer.Idempotent {
		return true
	}
	l.prune(now)
	first, again := l.first[id]
	if !again {
		l.first[id] = now
		l.order = append(l.order, id)
		return true
	}
	return l.classes[class].Idempotency == balancer.IdempotentWithKey && now.Sub(first) <= l.classes[class].DedupWindow.Duration()
}

func (l *runLog) prune(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.first[l.order[0]]) > l.keep {
		delete(l.first, l.order[0])
		l.order = l.order[1:]
	}
}
