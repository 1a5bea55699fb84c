package upstream

import (
	"slices"
	"time"

	"baylock/internal/socket"
)

const (
	// ReuseDelay is how long a connection must be idle before it is reused. Stray bytes after a response arrive within
	// this time; if the connection were reused earlier, they would be read as the next response.
	ReuseDelay = 20 * time.Millisecond

	// staleResetWindow is the time within which a request on a reused connection is reset if the endpoint had silently
	// dropped the connection while it was idle.
	staleResetWindow = 10 * time.Millisecond

	// After a stale connection the pool reuses only connections that have been idle for less than half as long as the
	// stale one, but this limit is at least minReuseLimit. Each sweep then multiplies the limit by reuseLimitGrowth, until
	// it reaches the pool's idle timeout.
	minReuseLimit    = 2 * ReuseDelay
	reuseLimitGrowth = 1.05
)

// reuse removes and returns the most recently pooled connection that can be reused, or returns nil if there is none. It
// skips connections that have not been idle for ReuseDelay yet, and closes those that it finds to exceed the reuse limit
// or not to be quiet (see socket.IsQuiet).
func (t Target) reuse() *conn {
	p, e := t.pool, t.endpoint
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.generation != t.generation {
		return nil
	}
	now := time.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		idleTime := now.Sub(c.idleSince)
		if idleTime < ReuseDelay {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if idleTime < p.reuseLimit && socket.IsQuiet(c.Conn) {
			c.idleTime = idleTime
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// put returns a connection to the pool as idle, or closes it if its endpoint has changed since it was opened.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	if e.generation != c.generation || !e.ready {
		p.closeLocked(c)
		return
	}
	if c.written || c.idleSince.IsZero() { // if nothing was written, the peer has seen no activity
		c.idleSince = time.Now()
	}
	c.written = false
	c.limitReads(readLimits{})
	e.idle = append(e.idle, c)
}

// discard closes a connection that was in use.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// reportStale lowers the reuse limit after an endpoint has silently dropped a connection that was idle.
func (p *Pool) reportStale(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseLimit = max(minReuseLimit, min(p.reuseLimit, c.idleTime/2))
}

// Sweep raises the reuse limit, and closes the idle connections that exceed it, that their endpoints have closed or that
// have unread bytes. It is called once a second.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseLimit = min(p.idleTimeout, time.Duration(reuseLimitGrowth*float64(p.reuseLimit)))
	for _, e := range p.endpoints {
		p.sweepLocked(e, now)
	}
}

func (p *Pool) sweepLocked(e *endpoint, now time.Time) {
	kept := e.idle[:0]
	for _, c := range e.idle {
		if now.Sub(c.idleSince) < p.reuseLimit && socket.IsQuiet(c.Conn) {
			kept = append(kept, c)
		} else {
			p.closeLocked(c)
		}
	}
	clear(e.idle[len(kept):])
	e.idle = kept
}
