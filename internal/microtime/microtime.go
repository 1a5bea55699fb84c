// Package microtime defines the balancer's unit of time.
package microtime

import "time"

// Microseconds is a time of the balancer's clock or the difference between two such times.
type Microseconds int64

// Duration converts a difference to a time.Duration.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration converts a time.Duration to microseconds, rounding towards zero.
func FromDuration(d time.Duration) Microseconds { return Microseconds(d.Microseconds()) }
