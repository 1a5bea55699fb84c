package backend

import (
	"slices"
	"sync"
	"time"

	"baylock/balancer"
)

// Counts are a tier's counts of attempts and runs. An attempt that has arrived is in flight until it is counted as
// served, failed, rejected, cancelled or reset.
type Counts struct {
	Arrivals        int64 // attempts whose last byte has arrived
	ArrivalsByClass []int64
	Served          int64
	Failed          int64 // answered with an error, the backend's own or the next tier's
	Rejected        int64 // never begun, as the queue was full
	Cancelled       int64 // by the proxy
	Reset           int64 // by the end of the process or an injected fault
	InFlight        int   // queued ones included
	InFlightPeak    int
	ForbiddenRuns   int64 // runs of a call beyond its first that its class does not allow

	ColdArrivals     int64   // attempts that arrived at cold backends
	ColdPeakLoad     float64 // highest load of a cold backend within OverloadWindow, in parts of the threshold
	ColdPeakMeanLoad float64 // the same in parts of the sustainable load
	Overloaded       int     // crashes of cold backends
}

// counters keeps the Counts of a tier.
type counters struct {
	mu     sync.Mutex // guards all below
	counts Counts
	runs   runLog
}

func newCounters(classes []balancer.Class) *counters {
	return &counters{counts: Counts{ArrivalsByClass: make([]int64, len(classes))}, runs: newRunLog(classes)}
}

func (c *counters) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.ArrivalsByClass = slices.Clone(counts.ArrivalsByClass)
	return counts
}

// arrival counts the arrival of an attempt.
func (c *counters) arrival(class int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Arrivals++
	if class >= 0 && class < len(c.counts.ArrivalsByClass) {
		c.counts.ArrivalsByClass[class]++
	}
	c.counts.InFlight++
	c.counts.InFlightPeak = max(c.counts.InFlightPeak, c.counts.InFlight)
}

// attemptEnded counts the end of an attempt that has arrived.
func (c *counters) attemptEnded(status balancer.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.InFlight--
	switch status {
	case balancer.OK:
		c.counts.Served++
	case balancer.Error:
		c.counts.Failed++
	case balancer.Rejected:
		c.counts.Rejected++
	case balancer.Reset:
		c.counts.Reset++
	default:
		c.counts.Cancelled++
	}
}

// runStarted counts the start of a call's work.
func (c *counters) runStarted(id string, class int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.runs.record(id, class, now) {
		c.counts.ForbiddenRuns++
	}
}

// coldArrival counts an attempt at a cold backend, which crashes if the load, in parts of its threshold, is above 1.
func (c *counters) coldArrival(load, meanLoad float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ColdArrivals++
	c.counts.ColdPeakLoad = max(c.counts.ColdPeakLoad, load)
	c.counts.ColdPeakMeanLoad = max(c.counts.ColdPeakMeanLoad, meanLoad)
	if load > 1 {
		c.counts.Overloaded++
	}
}

// runLog keeps the times of the first runs of calls that are not idempotent, for as long as a retry may arrive. All
// backends of the tier discard duplicates of a call with an idempotency key, within its class's window.
type runLog struct {
	classes    []balancer.Class
	retention  time.Duration
	firstRun   map[string]time.Time // by the call's ID
	byFirstRun []string             // IDs in order of their first run
}

func newRunLog(classes []balancer.Class) runLog {
	log := runLog{classes: classes, firstRun: map[string]time.Time{}}
	for _, class := range classes {
		log.retention = max(log.retention, max(2*class.Deadline, 2*class.DedupWindow).Duration())
	}
	return log
}

// record records a run and reports whether the call's class allows it.
func (l *runLog) record(id string, class int, now time.Time) bool {
	if class < 0 || class >= len(l.classes) || l.classes[class].Idempotency == balancer.Idempotent {
		return true
	}
	l.prune(now)
	first, repeated := l.firstRun[id]
	if !repeated {
		l.firstRun[id] = now
		l.byFirstRun = append(l.byFirstRun, id)
		return true
	}
	discarded := l.classes[class].Idempotency == balancer.IdempotentWithKey
	return discarded && now.Sub(first) <= l.classes[class].DedupWindow.Duration()
}

// prune removes the runs that are older than the retention time.
func (l *runLog) prune(now time.Time) {
	for len(l.byFirstRun) > 0 && now.Sub(l.firstRun[l.byFirstRun[0]]) > l.retention {
		delete(l.firstRun, l.byFirstRun[0])
		l.byFirstRun = l.byFirstRun[1:]
	}
}
