package proxy

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"baylock/internal/clientconn"
	"baylock/internal/config"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

const (
	bytesPerMiB = 1 << 20

	// memoryLimitFraction is the fraction of the process's memory limit that is set as the Go runtime's soft limit. Near
	// the soft limit the runtime collects garbage more often. The rest is for the pages of the program, and for garbage while
	// the live memory exceeds the soft limit.
	memoryLimitFraction = 0.55

	// New requests are rejected while the live memory, or all memory of the Go runtime, exceeds these fractions of the process's
	// memory limit. The second is above memoryLimitFraction, where garbage collection usually keeps it.
	maxLiveFraction  = 0.5
	maxTotalFraction = 0.58
)

// resourceLimits applies the limits in force to everything that uses file descriptors, memory or cores. It is safe for
// concurrent use.
type resourceLimits struct {
	clients *clientconn.Listener
	pool    *upstream.Pool
	budget  *message.Budget // of buffered bodies
	heads   *message.Budget // of the heads of requests
	memory  *memoryPressure

	attempts atomic.Int64 // maximum number of attempts in flight

	mu            sync.Mutex // held while limits are applied; guards the fields below
	limits        config.Limits
	alone         bool // no other process of this proxy is running
	memoryLimited bool // the Go runtime has a memory limit
}

// set replaces the limits in force.
func (r *resourceLimits) set(limits config.Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = limits
	r.applyLocked()
}

// setAlone sets whether this is the only running process of this proxy. While another one runs, each process gets half of
// the file descriptors and memory.
func (r *resourceLimits) setAlone(alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alone = alone
	r.applyLocked()
}

func (r *resourceLimits) applyLocked() {
	limits := r.limits
	if !r.alone {
		limits = limits.Halved()
	}
	_, backends := limits.Connections()
	r.attempts.Store(int64(limits.Attempts()))
	r.clients.SetMaxConnections(limits.ClientConnections())
	r.pool.SetMaxOpen(backends)
	r.budget.SetLimit(limits.MemoryMB)
	r.heads.SetLimit(limits.MemoryMB)
	r.limitRuntimeMemoryLocked(limits.MemoryMB)
	if cores := int(math.Ceil(limits.Cores)); cores > 0 && cores != runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

// limitRuntimeMemoryLocked sets the Go runtime's soft memory limit, and the limits above which requests are rejected, to
// fractions of memoryMB, which is in MiB. 0 removes the limits.
func (r *resourceLimits) limitRuntimeMemoryLocked(memoryMB float64) {
	r.memory.setLimits(memoryLimits{
		live:  int64(memoryMB * maxLiveFraction * bytesPerMiB),
		total: int64(memoryMB * maxTotalFraction * bytesPerMiB),
	})
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * bytesPerMiB))
	} else if r.memoryLimited {
		debug.SetMemoryLimit(math.MaxInt64)
	}
	r.memoryLimited = memoryMB > 0
}
