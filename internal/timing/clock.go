// Package timing provides the balancer's clock and a timer queue for the event loop that owns the balancer.
package timing

import (
	"time"

	"baylock/internal/microtime"
)

// Clock returns the balancer's time in microseconds. It starts at the current Unix time and then follows the monotonic
// clock, so that it is comparable with Unix times from discovery and unaffected by steps of the wall clock.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the balancer's current time.
func (c Clock) Now() microtime.Microseconds { return c.At(time.Now()) }

// At converts a time.Time to the balancer's time.
func (c Clock) At(t time.Time) microtime.Microseconds {
	return microtime.Microseconds(c.start.UnixMicro() + t.Sub(c.start).Microseconds())
}

// Time converts the balancer's time to a time.Time.
func (c Clock) Time(micros microtime.Microseconds) time.Time {
	return c.start.Add((micros - microtime.Microseconds(c.start.UnixMicro())).Duration())
}
