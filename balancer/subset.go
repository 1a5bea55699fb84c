package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	minSubset        = 4.0      // endpoints that a replica spreads its calls over, at least
	subsetRateFactor = 3.0      // and this times the root of its calls a second
	ringStep         = 0.618034 // golden ratio: steps of it spread any number of replicas evenly over a ring
)

// ringPosition places an endpoint on the ring, alike at every replica and whatever its name means.
func ringPosition(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// orderByRing orders endpoints so that a replica's subset comes first: they stand on a ring by their
// positions, and replicas start at places spread over it. Without subsets each endpoint would hold
// connections of every replica, and each replica would see too few calls to an endpoint to judge it.
func orderByRing(endpoints []*endpoint, replicaIndex int) []*endpoint {
	slices.SortFunc(endpoints, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.ringPosition, y.ringPosition), cmp.Compare(x.ID, y.ID))
	})
	_, start := math.Modf(float64(replicaIndex) * ringStep)
	first := int(start * float64(len(endpoints)))
	return slices.Concat(endpoints[first:], endpoints[:first])
}

// refresh forgets removed endpoints and gathers the ready ones. An endpoint is out of the draw as soon as the
// list says that it is draining or removed; the drain grace is not used.
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

// subsetSizer sizes this replica's subset by its attempts a second.
type subsetSizer struct {
	attempts slidingWindow
}

// recordAttempt counts an attempt.
func (s *subsetSizer) recordAttempt(now Microseconds) { s.attempts.add(now) }

// size is how many warm and healthy endpoints this replica's calls are spread over.
func (s *subsetSizer) size(now Microseconds) float64 {
	rate := s.attempts.sum(now, windowLength) / float64(windowLength/second)
	return max(minSubset, subsetRateFactor*math.Sqrt(rate))
}
