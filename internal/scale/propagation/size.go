package propagation

import (
	"fmt"
	"time"
)

const (
	changesPerDay = 2200
	day           = 24 * time.Hour

	replicationDelay = 50 * time.Millisecond // of the emulated service
)

// size is the size and duration of the scenarios.
type size struct {
	proxies, services int
	realProxies       int // in addition, in scenarios without outage or late start
	changeRate        float64
	replicaCallRate   float64       // capacity of a replica in requests a second, where lists are polled
	startSpread       time.Duration // time span of the first proxies' starts
	parallel          int           // scenarios at the same time, each with a service and proxies of its own

	beforeFault          time.Duration // before a fault
	faultFree            time.Duration // of the scenario without a fault
	outage               time.Duration // of a replica or a zone
	partition            time.Duration // of the regions
	afterFault           time.Duration // of further changes after the last fault
	silences             int           // of all watches
	longSilenceInterval  time.Duration // between two silences
	shortSilenceInterval time.Duration // between two silences
	restarts             int           // within restartSpan
	restartSpan          time.Duration
	downTime             time.Duration // between the end of a proxy and its restart
	settle               time.Duration // from the end until a change counts as never in force
}

// fullSize returns the size of the modelled service.
func fullSize() size {
	return size{proxies: 970, services: 29, realProxies: 10, changeRate: 2.5, replicaCallRate: 500,
		startSpread: 2 * time.Second, parallel: 4, beforeFault: 4 * time.Second, faultFree: 40 * time.Second, outage: 20 * time.Second,
		partition: 2 * time.Minute, afterFault: 12 * time.Second, silences: 5, longSilenceInterval: 30 * time.Second,
		shortSilenceInterval: 6 * time.Second, restarts: 170, restartSpan: 30 * time.Second, downTime: 2 * time.Second,
		settle: 15 * time.Second}
}

// smallSize returns a size for quick runs.
func smallSize() size {
	return size{proxies: 60, services: 6, realProxies: 3, changeRate: 5, replicaCallRate: 50, startSpread: time.Second,
		parallel: 16, beforeFault: time.Second, faultFree: 6 * time.Second, outage: 5 * time.Second,
		partition: 8 * time.Second, afterFault: 5 * time.Second, silences: 2, longSilenceInterval: 8 * time.Second,
		shortSilenceInterval: 5 * time.Second, restarts: 10,
		restartSpan: 4 * time.Second, downTime: time.Second, settle: 15 * time.Second}
}

// compression is the factor by which changes are faster than in the modelled day.
func (s size) compression() float64 { return s.changeRate * day.Seconds() / changesPerDay }

// notes returns the sizes and the limitations of a run.
func (s size) notes() []string {
	return []string{
		fmt.Sprintf("Each case has %d hollow proxies in %d services, %d zones and 2 regions, with a discovery service of %d "+
			"replicas of its own on loopback TCP; up to %d cases run at once on the same cores.",
			s.proxies, s.services, len(zones()), len(replicas(0)), s.parallel),
		fmt.Sprintf("Changes come %.0f times as fast as %d a day, %.3g a second: drains, removals and restarts of backends, "+
			"accepted in the backend's region.", s.compression(), changesPerDay, s.changeRate),
		fmt.Sprintf("Stated for the service: a replica serves %v requests a second, one after the other, where lists are "+
			"polled; a change reaches the other replicas after %v; the network has no latency.",
			s.replicaCallRate, replicationDelay),
		"The time of a change ends when the balancer of the last proxy that watches its list has applied it. For proxies that " +
			"were isolated or down it counts from the end of that, and so it does for all if the only replica with the change " +
			"was lost; the time from the acceptance is given as well, without target.",
		fmt.Sprintf("Faults: a replica or a zone is out for %v, the regions are partitioned for %v, all watches fall silent %d "+
			"times %v or %v apart, and %d proxies restart within %v, each with its list and after %v.", s.outage, s.partition,
			s.silences, s.longSilenceInterval, s.shortSilenceInterval, s.restarts, s.restartSpan, s.downTime),
		"Loads do not include the start of the first proxies; a replica's mean is that of the replica with the highest. Where " +
			"the list is pushed, an agent on each proxy's machine bears the requests, and the service's load is not emulated.",
		fmt.Sprintf("In scenarios without outage or late start, %d real proxies, without calls of clients, watch lists as well, "+
			"if the real proxy's program is there. One of them has seen a change when its next watch starts from a version "+
			"with the change, which it does once its event loop has applied it.", s.realProxies),
		"Bytes are those of HTTP on the connections, in both directions, without TCP and IP headers; 1 KB is 1,000 bytes.",
	}
}
