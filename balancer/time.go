package balancer

import "baylock/internal/microtime"

// Microseconds is a point in time on the owner's clock, or a duration. A Balancer does not read a clock: its
// owner chooses the clock's starting value and passes the time with each event.
type Microseconds = microtime.Microseconds

// second is one second.
const second Microseconds = 1_000_000
