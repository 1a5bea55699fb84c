package propagation

import (
	"fmt"
	"time"
)

const (
	changesPerDay = 2200 // of the modelled service
	day           = 24 * time.Hour

	replicationDelay = 50 * time.Millisecond // between replicas of the emulated discovery service
)

// size holds the sizes and durations of the scenarios.
type size struct {
	proxies         int           // hollow proxies, one on the machine of each backend
	services        int           // services that the backends belong to, each with its own endpoint list
	realProxies     int           // in addition to proxies, in scenarios without outage or late start
	changeRate      float64       // changes per second
	replicaCallRate float64       // capacity of a replica in requests per second, where lists are polled
	startSpread     time.Duration // time span in which the initial proxies start
	parallel        int           // jobs that run in parallel, each with its own discovery service and proxies

	beforeFault          time.Duration // before the first fault
	faultFree            time.Duration // of the scenario without a fault
	outage               time.Duration // of a replica or a zone
	partition            time.Duration // of the regions
	afterFault           time.Duration // after the last fault, while changes go on
	silences             int           // number of times that all watches become silent
	longSilenceInterval  time.Duration // between two silences, in the scenario with rare ones
	shortSilenceInterval time.Duration // between two silences, in the scenario with frequent ones
	restarts             int           // number of proxies that restart within restartSpan
	restartSpan          time.Duration
	downTime             time.Duration // between the end of a proxy and its restart
	settle               time.Duration // wait at the end, after which a change counts as never in force
}

// fullSize returns the size of the modelled service.
func fullSize() size {
	return size{proxies: 970, services: 29, realProxies: 10, changeRate: 2.5, replicaCallRate: 500,
		startSpread: 2 * time.Second, parallel: 4, beforeFault: 4 * time.Second, faultFree: 40 * time.Second, outage: 20 * time.Second,
		partition: 2 * time.Minute, afterFault: 12 * time.Second, silences: 5, longSilenceInterval: 30 * time.Second,
		shortSilenceInterval: 6 * time.Second, restarts: 170, restartSpan: 30 * time.Second, downTime: 2 * time.Second,
		settle: 15 * time.Second}
}

// smallSize returns a size for quick runs and tests.
func smallSize() size {
	return size{proxies: 60, services: 6, realProxies: 3, changeRate: 5, replicaCallRate: 50, startSpread: time.Second,
		parallel: 16, beforeFault: time.Second, faultFree: 6 * time.Second, outage: 5 * time.Second,
		partition: 8 * time.Second, afterFault: 5 * time.Second, silences: 2, longSilenceInterval: 8 * time.Second,
		shortSilenceInterval: 5 * time.Second, restarts: 10,
		restartSpan: 4 * time.Second, downTime: time.Second, settle: 15 * time.Second}
}

// compression returns the ratio of the change rate to that of the modelled day.
func (s size) compression() float64 { return s.changeRate * day.Seconds() / changesPerDay }

// notes returns sentences that state the sizes and the limitations of a run.
func (s size) notes() []string {
	return []string{
		fmt.Sprintf("Each case has %d hollow proxies in %d services, %d zones and 2 regions, and a discovery service of %d "+
			"replicas of its own, over loopback TCP; up to %d cases run in parallel on the same cores.",
			s.proxies, s.services, len(zones()), len(replicas(0)), s.parallel),
		fmt.Sprintf("Changes come %.0f times as fast as %d a day, %.3g per second: drains, removals and restarts of "+
			"backends, each accepted in the backend's region.", s.compression(), changesPerDay, s.changeRate),
		fmt.Sprintf("The discovery service is emulated: a replica serves %v requests per second, one after the other, "+
			"where lists are polled; a change reaches the other replicas after %v; the network has no latency.",
			s.replicaCallRate, replicationDelay),
		"A change is in force once the balancer of the last proxy that watches its list has applied it. For " +
			"proxies that were isolated or down, the time counts from the end of the outage, and so it does for all if the " +
			"only replica with the change was lost. The time from the acceptance is given as well, without a target.",
		fmt.Sprintf("Faults: a replica is down or a zone isolated for %v, the regions partitioned for %v, all watches go silent %d "+
			"times, %v or %v apart, and %d proxies restart within %v, each with its last list and a down time of %v.",
			s.outage, s.partition, s.silences, s.longSilenceInterval, s.shortSilenceInterval, s.restarts, s.restartSpan, s.downTime),
		"Loads exclude the start of the initial proxies. The mean at one replica is the highest of any replica's. Where " +
			"the list is pushed, an agent on each proxy's machine serves the requests, and the service's load is not emulated.",
		fmt.Sprintf("In scenarios without outage or late start, %d real proxies without client calls watch lists as well, if "+
			"the real proxy's program is available. A real proxy has seen a change when it sends a watch with a version that "+
			"includes the change, which it does once its event loop has applied it.", s.realProxies),
		"Bytes are those of HTTP on the connections, in both directions, without TCP and IP headers; 1 KB is 1,000 bytes.",
	}
}
