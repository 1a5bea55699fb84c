package backend

import (
	"slices"
	"sync"
	"time"

	"baylock/balancer"
)

// Counts holds a tier's counts of attempts and runs. A run is the work of an attempt. An attempt that has arrived is
// in flight until it is counted as served, failed, rejected, cancelled or reset.
type Counts struct {
	Arrivals        int64 // attempts that have arrived at a running backend
	ArrivalsByClass []int64
	Served          int64
	Failed          int64 // answered with an error, injected or because the call to the next tier failed
	Rejected        int64 // not run, because the queue was full
	Cancelled       int64 // by the proxy
	Reset           int64 // by the end of the process or an injected fault
	InFlight        int   // including queued attempts
	InFlightPeak    int
	ForbiddenRuns   int64 // repeated runs of a call that its class's idempotency does not allow

	ColdArrivals             int64   // attempts that arrived at cold backends
	ColdPeakThresholdRatio   float64 // highest load within OverloadWindow, as a fraction of the overload threshold
	ColdPeakSustainableRatio float64 // highest load within OverloadWindow, as a fraction of the sustainable load
	OverloadCrashes          int     // crashes of cold backends caused by overload
}

// counters maintains the Counts of a tier.
type counters struct {
	mu     sync.Mutex // guards the fields below
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

// attemptArrived counts an attempt that arrives at a backend.
func (c *counters) attemptArrived(class int) {
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

// runStarted records a run, and counts it if the call's class does not allow it.
func (c *counters) runStarted(id string, class int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.runs.record(id, class, now) {
		c.counts.ForbiddenRuns++
	}
}

// coldAttemptArrived counts an attempt at a cold backend. The backend's load is given as fractions of its overload
// threshold and of its sustainable load. The backend crashes if it exceeds the threshold.
func (c *counters) coldAttemptArrived(thresholdRatio, sustainableRatio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ColdArrivals++
	c.counts.ColdPeakThresholdRatio = max(c.counts.ColdPeakThresholdRatio, thresholdRatio)
	c.counts.ColdPeakSustainableRatio = max(c.counts.ColdPeakSustainableRatio, sustainableRatio)
	if thresholdRatio > 1 {
		c.counts.OverloadCrashes++
	}
}

// runLog records when each call that is not idempotent first ran, and keeps this time for as long as a retry may
// arrive. A repeated run of a call with an idempotency key is allowed within its class's deduplication window, because
// all backends of the tier discard such duplicates.
type runLog struct {
	classes    []balancer.Class
	retention  time.Duration
	firstRun   map[string]time.Time // by call ID
	byFirstRun []string             // call IDs in the order of their first runs
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
	deduplicated := l.classes[class].Idempotency == balancer.IdempotentWithKey
	return deduplicated && now.Sub(first) <= l.classes[class].DedupWindow.Duration()
}

// prune removes the calls whose first run is longer ago than the retention time.
func (l *runLog) prune(now time.Time) {
	for len(l.byFirstRun) > 0 && now.Sub(l.firstRun[l.byFirstRun[0]]) > l.retention {
		delete(l.firstRun, l.byFirstRun[0])
		l.byFirstRun = l.byFirstRun[1:]
	}
}
