package balancer

import "baylock/internal/microtime"

// Microseconds is a point in time of the owner's clock, or the time between two of them. A Balancer reads no
// clock: its owner chooses where the clock begins, and passes each event's time in.
type Microseconds = microtime.Microseconds

// second is one second.
const second Microseconds = 1_000_000
