// Package timing holds what an event loop that owns a balancer needs of time: the balancer's clock and a queue of timers.
package timing

import (
	"time"

	"baylock/internal/microtime"
)

// Clock shows the balancer's time: microseconds that begin at the Unix time of the start and follow the monotonic clock
// from there. Unix times from discovery compare with it, and a step of the wall clock doesn't change it.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the balancer's present time.
func (c Clock) Now() microtime.Microseconds { return c.At(time.Now()) }

// At returns the balancer's time at an instant.
func (c Clock) At(t time.Time) microtime.Microseconds {
	return microtime.Microseconds(c.start.UnixMicro() + t.Sub(c.start).Microseconds())
}

// Time returns the instant of a time of the balancer.
func (c Clock) Time(micros microtime.Microseconds) time.Time {
	return c.start.Add((micros - microtime.Microseconds(c.start.UnixMicro())).Duration())
}
