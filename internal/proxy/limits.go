package proxy

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"

	"baylock/internal/clientconn"
	"baylock/internal/config"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

const (
	bytesPerMiB = 1 << 20

	// memoryLimitFraction is the part of the memory from which on the runtime collects garbage harder.
	memoryLimitFraction = 0.6
)

// resourceLimits applies the limits in force to all that uses descriptors, memory and cores. It is safe for concurrent use.
type resourceLimits struct {
	clients *clientconn.Listener
	pool    *upstream.Pool
	budget  *message.Budget

	mu            sync.Mutex // held while limits are applied; guards the fields below
	limits        config.Limits
	alone         bool // no other process of this proxy lives
	memoryLimited bool // the runtime has a memory limit
}

// set replaces the limits in force.
func (r *resourceLimits) set(limits config.Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = limits
	r.applyLocked()
}

// setAlone sets whether no other process of this proxy lives. While one does, both share descriptors and memory.
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
	r.clients.SetMaxConnections(limits.ClientConnections())
	r.pool.SetMaxOpen(backends)
	r.budget.SetLimit(limits.MemoryMB)
	r.limitRuntimeMemoryLocked(limits.MemoryMB)
	if cores := int(math.Ceil(limits.Cores)); cores > 0 && cores != runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

// limitRuntimeMemoryLocked sets the runtime's memory limit, in MiB; 0 reverts to none.
func (r *resourceLimits) limitRuntimeMemoryLocked(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * bytesPerMiB))
	} else if r.memoryLimited {
		debug.SetMemoryLimit(math.MaxInt64)
	}
	r.memoryLimited = memoryMB > 0
}
