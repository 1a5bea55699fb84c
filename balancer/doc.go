// Package balancer makes all load balancing decisions for one proxy of one tier: which endpoint gets a
// request, which requests are rejected, which attempts are retried, and when.
//
// The design follows Sentinel's flow rules. Before the first attempt of a request, the rules are checked in
// order, as in Sentinel's FlowSlot: the tier's concurrency limit (thread grade, cluster node), the tenant's
// quota (QPS grade, origin node) and the class's concurrency limit (thread grade, default node). A request
// that exceeds a rule's limit (its count, in Sentinel's terms) is rejected immediately and never sent, and so
// is one that would leave clients too few idle connections. A retry is subject to the two concurrency limits
// and to a retry budget, but not to the quota or the idle connections.
//
// In Sentinel, counts are configured by hand. Here they are adjusted at run time, after each round of
// observed calls: they start high, decrease after a round that indicates an overload (many calls are slow or
// fail, and hardly any is as fast as without load) and increase after a healthy round.
//
// An admitted request goes to an endpoint chosen by weighted random selection from a subset of the ready
// endpoints. Weights depend on capacity, latency, outlier detection, slow start, zones and calls in flight.
// Replicas of the proxy share no state.
//
// One Balancer serves one proxy. It is not safe for concurrent use: its owner calls one event method at a
// time, in the order in which the events happened, and passes the time of its own clock with each event.
// Times and durations are whole microseconds; the clock may start at any value and never goes backwards. A
// Balancer has no goroutines, locks or global state, reads no clock and derives all random numbers from its
// seed, so the same events always produce the same actions. It acts through the Host that is passed to each
// event method.
package balancer
