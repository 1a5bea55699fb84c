package balancer

import "math"

// countLifetime is the time constant of a decayingCount, in which the count falls to 1/e.
const countLifetime = 30 * second

// decayingCount counts events with exponential decay.
type decayingCount struct {
	count     float64
	updatedAt Microseconds
}

// at returns the count at the given time, which must not be before that of an earlier call.
func (c *decayingCount) at(now Microseconds) float64 {
	c.count *= math.Exp(-float64(now-c.updatedAt) / float64(countLifetime))
	c.updatedAt = now
	return c.count
}

// add counts an event.
func (c *decayingCount) add(now Microseconds) { c.count = c.at(now) + 1 }
