// Package balancer makes every decision of a load balancer for one proxy of one tier: which endpoint gets
// a request, which requests are rejected, which attempts are retried, and when.
//
// The design follows Sentinel's flow rules. Before each send the rules are checked in order, as
// Sentinel's FlowSlot does: the tier's concurrency limit (thread grade, cluster node), the tenant's quota
// (QPS grade, origin node) and the class's concurrency limit (thread grade, default node). A request over
// a rule's count fails fast, unsent. Sentinel has its counts set by hand; here they are learned: they
// start high, rise after rounds of timely answers and are cut after rounds of late or failed ones. An
// admitted request goes to an endpoint by a weighted random draw over a subset of the ready endpoints.
// Weights follow latency, outlier detection, slow start, zones and what is in flight. Replicas of the
// proxy share nothing.
//
// One Balancer serves one proxy. It is not safe for concurrent use: its owner calls one event method at a
// time, in the order in which the events happened, each with the time of the owner's clock. Times and
// durations are whole microseconds; the clock may begin anywhere and only advances. A Balancer keeps no
// goroutines, locks or global state, reads no clock and draws its random numbers from the seed alone, so
// the same events give the same actions. It acts through the Host that each event method is given.
package balancer
