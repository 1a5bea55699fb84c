package discovery

import "time"

// policy holds the times of a Client. A connection to the service can fall silent, which shows only in an overdue answer.
// The service counts a change as received 6 s after it, or 2 s after the end of the watch's wait if that is later: a watch
// that falls silent and a call for the complete list have to end before.
type policy struct {
	// A watch waits for changes this long at most. Where calls fail it waits longer, to spare the service.
	minWatchWait, maxWatchWait time.Duration
	watchWaitSpread            time.Duration // waits are drawn from a range of this length below
	watchTimeout               time.Duration // beyond the wait

	minSnapshotTimeout, maxSnapshotTimeout time.Duration // of a call for the complete list; it grows after a timeout

	maxBackoff time.Duration
}

const (
	minBackoff = 50 * time.Millisecond

	watchWaitGrowth   = 1.25 // after a failed call
	watchWaitDecrease = 50 * time.Millisecond
)

// agentPolicy is for an agent on this machine, which answers at once, or not at all while the service is down. When the
// service is back it answers the watches whose wait is not over, so one has to be open at almost any time.
var agentPolicy = policy{
	minWatchWait:       2 * time.Second,
	maxWatchWait:       2 * time.Second,
	watchTimeout:       100 * time.Millisecond,
	minSnapshotTimeout: 150 * time.Millisecond,
	maxSnapshotTimeout: time.Second,
	maxBackoff:         100 * time.Millisecond,
}

// pollPolicy is for a service that all proxies share, where calls queue. Watches of different proxies wait for different
// times, so that not all of them notice a silence at once.
var pollPolicy = policy{
	minWatchWait:       2500 * time.Millisecond,
	maxWatchWait:       4 * time.Second,
	watchWaitSpread:    2500 * time.Millisecond / 3,
	watchTimeout:       500 * time.Millisecond,
	minSnapshotTimeout: 2200 * time.Millisecond,
	maxSnapshotTimeout: 8 * time.Second, // a fleet that starts queues
	maxBackoff:         time.Second,
}
