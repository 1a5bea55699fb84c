package proxy

import (
	"context"
	"errors"
	"math"
	"net/http"
	"runtime"
	"runtime/debug"

	"baylock/internal/config"
)

// memoryLimitFraction is the part of the memory from which on the runtime collects garbage harder.
const memoryLimitFraction = 0.6

// errClassChanged is returned for a request that was read under settings whose class is not in those in force, or has
// another idempotency there.
var errClassChanged = errors.New("the request's class is gone or has another idempotency")

// Reload puts another configuration in force without a restart. It is checked as a whole, applied by the loop at one
// instant, and in force when Reload returns; on an error nothing has changed. Its Seed and Known count only at a start.
// Reload may be called while Run does its work, and waits for Run to begin.
func (p *Proxy) Reload(cfg config.Config) error {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	if err := p.cfg.CheckReload(cfg); err != nil {
		return err
	}
	next, err := config.NewSnapshot(cfg, p.loop.zones, p.loop.inForce.Load())
	if err != nil {
		return err
	}
	var rejected error
	if err := p.loop.do(context.Background(), func() { rejected = p.apply(next) }); err != nil {
		return err
	}
	if rejected != nil {
		return rejected
	}
	p.log.Info("settings in force", "version", next.Version, "discovery", cfg.Discovery)
	p.renew(cfg.Discovery)
	return nil
}

// apply puts a snapshot in force, or changes nothing. The loop calls it.
func (p *Proxy) apply(next *config.Snapshot) error {
	if err := p.loop.bal.Reconfigure(next.Balancer); err != nil {
		return err
	}
	p.loop.inForce.Store(next)
	p.loop.pool.SetTimeouts(next.Site.DialTimeout, next.Site.IdleClose)
	p.limits.Lock()
	defer p.limits.Unlock()
	p.applyLimits()
	return nil
}

// setAlone sets whether no other process of this proxy lives. While one does, both share descriptors and memory.
func (p *Proxy) setAlone(alone bool) {
	p.limits.Lock()
	defer p.limits.Unlock()
	p.alone = alone
	p.applyLimits()
}

// applyLimits applies the limits in force. The caller holds p.limits.
func (p *Proxy) applyLimits() {
	limits := p.loop.inForce.Load().Limits
	if !p.alone {
		limits = limits.Halved()
	}
	_, backends := limits.Connections()
	p.front.clients.SetMaxConnections(limits.ClientConnections())
	p.loop.pool.SetMaxOpen(backends)
	p.front.budget.SetLimit(limits.MemoryMB)
	p.limitRuntimeMemory(limits.MemoryMB)
	if cores := int(math.Ceil(limits.Cores)); cores > 0 && cores != runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

// limitRuntimeMemory sets the runtime's memory limit, in MiB; 0 reverts to none. The caller holds p.limits.
func (p *Proxy) limitRuntimeMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * (1 << 20)))
	} else if p.memoryLimited {
		debug.SetMemoryLimit(math.MaxInt64)
	}
	p.memoryLimited = memoryMB > 0
}

// renumber gives a request that was read under earlier settings the indices that its class and tenant have now.
func (r *request) renumber(now *config.Snapshot) error {
	earlier := r.snapshot.Site
	class, ok := now.ClassIndex(earlier.Classes[r.Class])
	if !ok || now.Balancer.Classes[class].Idempotency != earlier.Balancer.Classes[r.Class].Idempotency {
		return errClassChanged
	}
	r.Class = class
	if r.Tenant != config.NoTenant {
		r.Tenant = now.TenantIndex(earlier.Tenants[r.Tenant])
	}
	r.snapshot = now
	return nil
}

// adopt makes a request fit the settings in force. It rejects one that can't: nothing of it has been sent, and its client
// may retry.
func (l *loop) adopt(r *request) bool {
	if now := l.inForce.Load(); r.snapshot != now && r.renumber(now) != nil {
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return false
	}
	return true
}
