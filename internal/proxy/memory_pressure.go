package proxy

import (
	"runtime/metrics"
	"sync"
	"time"
)

// memorySampleInterval is how long a measurement of the memory in use is valid.
const memorySampleInterval = 10 * time.Millisecond

// Names of the runtime's metrics, in bytes. What is live of the heap was measured by the last garbage collection.
const (
	totalMemoryMetric  = "/memory/classes/total:bytes"
	releasedHeapMetric = "/memory/classes/heap/released:bytes"
	liveHeapMetric     = "/gc/heap/live:bytes"
)

// usedHeapMetrics are the other parts of the total memory that belong to the heap.
var usedHeapMetrics = []string{
	"/memory/classes/heap/objects:bytes",
	"/memory/classes/heap/free:bytes",
	"/memory/classes/heap/unused:bytes",
}

// memoryLimits limit the memory of the Go runtime, in bytes.
type memoryLimits struct {
	live  int64 // what garbage collection cannot free
	total int64 // garbage included; exceeded if the garbage collection does not keep up
}

// memoryPressure tells whether the memory in use exceeds limits. It is safe for concurrent use.
type memoryPressure struct {
	mu        sync.Mutex   // guards the fields below
	limits    memoryLimits // zero for none
	samples   []metrics.Sample
	sampledAt time.Time
	exceeded  bool // according to the last measurement
}

func newMemoryPressure() *memoryPressure {
	p := &memoryPressure{samples: []metrics.Sample{
		{Name: totalMemoryMetric}, {Name: releasedHeapMetric}, {Name: liveHeapMetric}}}
	for _, name := range usedHeapMetrics {
		p.samples = append(p.samples, metrics.Sample{Name: name})
	}
	return p
}

// setLimits sets the limits; zero limits are none.
func (p *memoryPressure) setLimits(limits memoryLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits, p.sampledAt, p.exceeded = limits, time.Time{}, false
}

// Exceeded reports whether a limit is exceeded.
func (p *memoryPressure) Exceeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.limits != (memoryLimits{}) && now.Sub(p.sampledAt) >= memorySampleInterval {
		p.sampledAt = now
		live, total := p.measureLocked()
		p.exceeded = live > p.limits.live || total > p.limits.total
	}
	return p.exceeded
}

// measureLocked returns the live bytes, with all memory of the runtime outside the heap, such as stacks, and the total bytes
// that have not been returned to the kernel.
func (p *memoryPressure) measureLocked() (live, total int64) {
	metrics.Read(p.samples)
	value := func(i int) int64 { return int64(p.samples[i].Value.Uint64()) }
	total = value(0) - value(1)
	live = total + value(2)
	for i := range usedHeapMetrics {
		live -= value(3 + i)
	}
	return live, total
}
