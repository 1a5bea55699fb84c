package balancer

const (
	slowStartMargin            = 0.6  // fraction of its minimum capacity used for an endpoint in slow start
	slowStartOverloadMargin    = 0.75 // fraction of SlowStartOverload used if no warm endpoint takes the rest
	reintroductionDelayDivisor = 200  // SlowStartDuration / this: delay between two replicas' first calls
)

// slowStartFactor returns the fraction of a warm endpoint's weight that an endpoint of its age gets. It is 1
// once the endpoint is warm, and before that less than the minimum capacity of an endpoint of that age.
func (s *Settings) slowStartFactor(now Microseconds, ep *endpoint) float64 {
	start := max(ep.StartedAt, ep.attachedAt)
	age := now - start
	if start == 0 || age >= s.SlowStartDuration {
		return 1
	}
	elapsed := float64(max(age, 0)) / float64(s.SlowStartDuration)
	return slowStartMargin * (s.SlowStartCapacity + (1-s.SlowStartCapacity)*elapsed)
}

// reintroductionDue reports whether this replica should now send its first call to a newly attached endpoint.
// Replicas take turns, so that their first calls do not arrive together.
func (s *Settings) reintroductionDue(now Microseconds, ep *endpoint) bool {
	delay := Microseconds(s.ReplicaIndex) * s.SlowStartDuration / reintroductionDelayDivisor
	return ep.reintroductionPending && now >= ep.attachedAt+delay
}
