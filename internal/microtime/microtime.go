// Package microtime defines the unit in which the decisions count time.
package microtime

import "time"

// Microseconds is a point in time of an event loop's clock, or the time between two of them.
type Microseconds int64

// Duration returns m as a time.Duration, if it is the time between two points.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration returns d in microseconds, rounded towards zero.
func FromDuration(d time.Duration) Microseconds { return Microseconds(d.Microseconds()) }
