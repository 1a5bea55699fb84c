package balancer

import "math"

// countLifetime is the time in which a decayingCount falls to 1/e.
const countLifetime = 30 * second

// decayingCount counts events and forgets them exponentially.
type decayingCount struct {
	count     float64
	updatedAt Microseconds
}

// at returns the count at a time, which must not be before that of an earlier call.
func (c *decayingCount) at(now Microseconds) float64 {
	c.count *= math.Exp(-float64(now-c.updatedAt) / float64(countLifetime))
	c.updatedAt = now
	return c.count
}

// add counts an event.
func (c *decayingCount) add(now Microseconds) { c.count = c.at(now) + 1 }
