package balancer

const (
	minRemainingMeans   = 0.5  // mean latencies of its class that a request needs at least
	attemptTimeoutMeans = 12.0 // mean latencies after which an attempt is given up for a retry
)

// deadline is when an answer stops having any value to the client of this proxy.
func (req *request) deadline(s *Settings) Microseconds {
	if s.Tier == 0 && req.class.LateFraction == 0 {
		return min(req.Deadline, req.arrivedAt+req.class.LatencyObjective)
	}
	return req.Deadline
}

// canFinishInTime reports whether a request can still be answered before its deadline.
func (req *request) canFinishInTime(now Microseconds, s *Settings) bool {
	return float64(req.deadline(s)-now) > minRemainingMeans*req.classState.latency.mean
}

// attemptTimeout gives the latest attempt up when its answer would have no value, or before where another may
// follow.
func (b *Balancer) attemptTimeout(now Microseconds, req *request) Microseconds {
	timeout := req.deadline(b.settings) - now
	if req.class.Idempotency != NotIdempotent && len(req.attempts) < b.settings.MaxAttempts {
		timeout = min(timeout, Microseconds(attemptTimeoutMeans*req.classState.latency.mean))
	}
	return max(timeout, 1)
}
