package balancer

const (
	slowStartMargin         = 0.6  // part of its least capacity that an endpoint in slow start is given
	slowStartOverloadMargin = 0.75 // of Settings.SlowStartOverload, where warm ones can't take the rest
	reintroductionSteps     = 200  // of SlowStartDuration: the time between two replicas' first calls
)

// slowStartFactor is the part of a warm endpoint's weight that an endpoint gets for its age: less than the
// least capacity that one of its age has, and 1 once it is warm.
func (s *Settings) slowStartFactor(now Microseconds, ep *endpoint) float64 {
	start := max(ep.StartedAt, ep.attachedAt)
	age := now - start
	if start == 0 || age >= s.SlowStartDuration {
		return 1
	}
	elapsed := float64(max(age, 0)) / float64(s.SlowStartDuration)
	return slowStartMargin * (s.SlowStartCapacity + (1-s.SlowStartCapacity)*elapsed)
}

// reintroductionDue reports whether this replica is due to give an attached endpoint its first call.
func (s *Settings) reintroductionDue(now Microseconds, ep *endpoint) bool {
	delay := Microseconds(s.ReplicaIndex) * s.SlowStartDuration / reintroductionSteps
	return ep.reintroductionPending && now >= ep.attachedAt+delay
}
