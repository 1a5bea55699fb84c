package propagation

import (
	"fmt"
	"time"
)

const (
	changesPerDay = 2200
	day           = 24 * time.Hour

	replicationDelay = 50 * time.Millisecond // of the stand-in's replicas
)

// size says how large and how long the scenarios are.
type size struct {
	proxies, services int
	realProxies       int // beside them, where nothing is cut off and none starts late
	changesPerSecond  float64
	replicaCalls      float64       // calls that a replica can take in a second, where calls are asked
	startSpread       time.Duration // the first proxies start over this time
	parallel          int           // scenarios at once, each with a service and proxies of its own

	quiet         time.Duration // before a fault
	calm          time.Duration // without any
	outage        time.Duration // of a replica or a zone
	partition     time.Duration // of the regions
	after         time.Duration // changes go on for so long after the last fault
	silences      int           // of all watches
	silenceSeldom time.Duration // from one to the next
	silenceOften  time.Duration // the same
	restarts      int           // over restartSpan
	restartSpan   time.Duration
	downTime      time.Duration // from the end of a proxy to its next start
	settle        time.Duration // a change not in force so long after the end is counted as never in force
}

// fullSize is the operators' size.
func fullSize() size {
	return size{proxies: 970, services: 29, realProxies: 10, changesPerSecond: 2.5, replicaCalls: 500, startSpread: 2 * time.Second,
		parallel: 4, quiet: 4 * time.Second, calm: 40 * time.Second, outage: 20 * time.Second,
		partition: 2 * time.Minute, after: 12 * time.Second, silences: 5, silenceSeldom: 30 * time.Second,
		silenceOften: 6 * time.Second, restarts: 170, restartSpan: 30 * time.Second, downTime: 2 * time.Second,
		settle: 15 * time.Second}
}

// smallSize is to try the experiment.
func smallSize() size {
	return size{proxies: 60, services: 6, realProxies: 3, changesPerSecond: 5, replicaCalls: 50, startSpread: time.Second,
		parallel: 16, quiet: time.Second, calm: 6 * time.Second, outage: 5 * time.Second, partition: 8 * time.Second,
		after: 5 * time.Second, silences: 2, silenceSeldom: 8 * time.Second, silenceOften: 5 * time.Second, restarts: 10,
		restartSpan: 4 * time.Second, downTime: time.Second, settle: 15 * time.Second}
}

// compression is how much faster changes come than in the operators' day.
func (s size) compression() float64 { return s.changesPerSecond * day.Seconds() / changesPerDay }

// notes tell the sizes of a run and what limits it.
func (s size) notes() []string {
	return []string{
		fmt.Sprintf("Each case has %d hollow proxies in %d services, %d zones and 2 regions, with a discovery service of %d "+
			"replicas of its own on loopback TCP; up to %d cases run at once on the same cores.",
			s.proxies, s.services, len(zones()), len(replicas(0)), s.parallel),
		fmt.Sprintf("Changes come %.0f times as fast as %d a day, %.3g a second: drains, removals and restarts of backends, "+
			"accepted in the backend's region.", s.compression(), changesPerDay, s.changesPerSecond),
		fmt.Sprintf("Stated for the service: a replica takes %v calls a second in turn where the list is asked for, and a "+
			"change reaches the other replicas after %v; the network adds nothing.", s.replicaCalls, replicationDelay),
		"The time of a change ends when the module of the last proxy that watches its list has taken it in. For proxies " +
			"that were cut off from it or down it is counted from their return, and so it is for all where the only replica that " +
			"had it was lost; the same from the acceptance stands beside, without target.",
		fmt.Sprintf("Faults: a replica or a zone is out for %v, the regions are apart for %v, all watches fall silent %d times "+
			"%v or %v apart, and %d proxies restart within %v, each with its list and after %v.", s.outage, s.partition,
			s.silences, s.silenceSeldom, s.silenceOften, s.restarts, s.restartSpan, s.downTime),
		"Loads leave out the start of the first proxies; a replica's mean is that of the replica with the most. Where the list " +
			"is pushed, an agent on each proxy's machine bears the calls, and the service's load is not emulated.",
		fmt.Sprintf("Where nothing is cut off and none starts late, %d real proxies watch beside the hollow ones, without calls of "+
			"clients, if the real proxy's program is there. A change counts as seen at one when its next watch asks from a version "+
			"that has it, which it does once its loop has taken the change in.", s.realProxies),
		"Bytes are those of HTTP on the connections, both ways, without TCP's and IP's headers; 1 KB is 1,000 bytes.",
	}
}
