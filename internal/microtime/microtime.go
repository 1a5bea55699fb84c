// Package microtime defines the unit in which the balancer counts time.
package microtime

import "time"

// Microseconds is a time of the balancer's clock, or the difference between two of them.
type Microseconds int64

// Duration returns a difference as a time.Duration.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration returns a duration in microseconds, rounded towards zero.
func FromDuration(d time.Duration) Microseconds { return Microseconds(d.Microseconds()) }
