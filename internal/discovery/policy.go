package discovery

import "time"

// policy holds the timeouts and backoffs of a Client. A connection to the service can stop delivering data without being
// closed, which the client notices only when a response is overdue. The service counts a change as received 6 s after it
// happened, or 2 s after the watch's wait ends if that is later. A watch on such a connection and the call for the
// complete list that follows it must both end before then.
type policy struct {
	// Bounds of Client.watchWait, the longest time that a watch waits for changes. With Poll, this time increases when
	// calls fail, to reduce the load on the service.
	minWatchWait, maxWatchWait time.Duration
	watchWaitSpread            time.Duration // each watch waits for Client.watchWait minus a random time of up to this
	watchTimeout               time.Duration // how long after the end of its wait a watch times out

	minSnapshotTimeout, maxSnapshotTimeout time.Duration // of a call for the complete list; increases after a timeout

	maxBackoff time.Duration
}

const (
	minBackoff = 50 * time.Millisecond

	// Changes of Client.watchWait, with Poll.
	watchWaitGrowth   = 1.25                  // factor after a failed call
	watchWaitDecrease = 50 * time.Millisecond // after a successful call
)

// agentPolicy is for an agent on this machine, which responds at once, or not at all while the service is down. When the
// service recovers, the agent responds to the watches whose wait has not ended, so a watch has to be open at almost all
// times.
var agentPolicy = policy{
	minWatchWait:       2 * time.Second,
	maxWatchWait:       2 * time.Second,
	watchTimeout:       100 * time.Millisecond,
	minSnapshotTimeout: 150 * time.Millisecond,
	maxSnapshotTimeout: time.Second,
	maxBackoff:         100 * time.Millisecond,
}

// pollPolicy is for a service that all proxies share and that queues calls. The watches of different proxies wait for
// different times, so that not all proxies detect an unresponsive service at the same time.
var pollPolicy = policy{
	minWatchWait:       2500 * time.Millisecond,
	maxWatchWait:       4 * time.Second,
	watchWaitSpread:    2500 * time.Millisecond / 3,
	watchTimeout:       500 * time.Millisecond,
	minSnapshotTimeout: 2200 * time.Millisecond,
	maxSnapshotTimeout: 8 * time.Second, // when a whole fleet starts, its calls queue
	maxBackoff:         time.Second,
}
