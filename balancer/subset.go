package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	minSubsetSize    = 4.0      // minimum number of endpoints that a replica sends to
	subsetRateFactor = 3.0      // the subset size is this times the square root of the calls per second
	ringStep         = 0.618034 // golden ratio - 1: multiples spread any number of replicas evenly on a ring
)

// ringPosition hashes an endpoint's ID to a position on the ring. The position is the same at every replica
// and does not depend on how IDs are chosen.
func ringPosition(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// orderByRing orders endpoints so that a replica's subset comes first. Endpoints are arranged on a ring by
// position, and the replicas' starting points are spread over the ring. Without subsets, each endpoint would
// hold connections from every replica, and each replica would send an endpoint too few calls to measure it.
func orderByRing(endpoints []*endpoint, replicaIndex int) []*endpoint {
	slices.SortFunc(endpoints, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.ringPosition, y.ringPosition), cmp.Compare(x.ID, y.ID))
	})
	_, start := math.Modf(float64(replicaIndex) * ringStep)
	first := int(start * float64(len(endpoints)))
	return slices.Concat(endpoints[first:], endpoints[:first])
}

// refresh deletes removed endpoints and rebuilds the list of ready ones. An endpoint gets no new attempts as
// soon as it is listed as draining or removed; Settings.DrainGrace is not used.
func (l *endpointList) refresh() {
	l.all = slices.DeleteFunc(l.all, func(ep *endpoint) bool {
		if ep.State == Removed {
			delete(l.byID, ep.ID)
		}
		return ep.State == Removed
	})
	l.ready = l.ready[:0]
	for _, ep := range l.all {
		if ep.State == Ready && !l.detached[ep.ID] {
			l.ready = append(l.ready, ep)
		}
	}
	l.ready = orderByRing(l.ready, l.replicaIndex)
	slices.SortStableFunc(l.ready, func(x, y *endpoint) int { // endpoints to reintroduce come first
		return cmp.Compare(indicator(y.reintroductionPending), indicator(x.reintroductionPending))
	})
}

// subsetSizer computes the size of this replica's subset from its attempts per second.
type subsetSizer struct {
	attempts slidingWindow
}

// recordAttempt records that an attempt was sent.
func (s *subsetSizer) recordAttempt(now Microseconds) { s.attempts.add(now) }

// size returns how many warm and healthy endpoints this replica spreads its calls over.
func (s *subsetSizer) size(now Microseconds) float64 {
	rate := s.attempts.sum(now, windowLength) / float64(windowLength/second)
	return max(minSubsetSize, subsetRateFactor*math.Sqrt(rate))
}
