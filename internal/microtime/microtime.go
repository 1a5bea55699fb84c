// Package microtime defines the balancer's unit of time.
package microtime

import (
	"math"
	"time"
)

// maxMicroseconds is the longest difference that a time.Duration can hold: some 292 years.
const maxMicroseconds = Microseconds(math.MaxInt64 / int64(time.Microsecond))

// Microseconds is a time of the balancer's clock or the difference between two such times.
type Microseconds int64

// Duration converts a difference to a time.Duration. Longer differences than that can hold become the longest that it can.
func (m Microseconds) Duration() time.Duration {
	m = max(-maxMicroseconds, min(m, maxMicroseconds))
	return time.Duration(m) * time.Microsecond
}

// FromDuration converts a time.Duration to microseconds, rounding towards zero.
func FromDuration(d time.Duration) Microseconds { return Microseconds(d.Microseconds()) }
