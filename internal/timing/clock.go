// Package timing holds what an event loop that owns a decision module needs of time: the module's clock and a queue of
// timers. Real and hollow proxies share it.
package timing

import (
	"time"

	"baylock/internal/microtime"
)

// Clock gives the module's time: microseconds that begin at the Unix time of the start and then follow the monotonic
// clock. Unix times that discovery gives compare with it, and a step of the wall clock does not.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the module's present time in microseconds.
func (c Clock) Now() microtime.Microseconds { return c.At(time.Now()) }

// At is the module's time at an instant, in microseconds.
func (c Clock) At(t time.Time) microtime.Microseconds {
	return microtime.Microseconds(c.start.UnixMicro() + t.Sub(c.start).Microseconds())
}

// Time is the instant of a time of the module, in microseconds.
func (c Clock) Time(micros microtime.Microseconds) time.Time {
	return c.start.Add((micros - microtime.Microseconds(c.start.UnixMicro())).Duration())
}
