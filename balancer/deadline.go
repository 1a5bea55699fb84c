package balancer

const (
	minRemainingMeanLatencies   = 0.5  // a request needs this many mean latencies of its class to be sent
	attemptTimeoutMeanLatencies = 12.0 // a retryable attempt times out after this many
)

// deadline returns the time after which a response is of no value to the client of this proxy.
func (req *request) deadline(s *Settings) Microseconds {
	if s.Tier == 0 && req.class.LateFraction == 0 {
		return min(req.Deadline, req.arrivedAt+req.class.LatencyObjective)
	}
	return req.Deadline
}

// canFinishInTime reports whether a request can still be answered before its deadline.
func (req *request) canFinishInTime(now Microseconds, s *Settings) bool {
	return float64(req.deadline(s)-now) > minRemainingMeanLatencies*req.classState.latency.mean
}

// attemptTimeout returns the timeout of the latest attempt. The attempt times out when a response would be of
// no value, or earlier if another attempt can follow.
func (b *Balancer) attemptTimeout(now Microseconds, req *request) Microseconds {
	timeout := req.deadline(b.settings) - now
	if req.class.Idempotency != NotIdempotent && len(req.attempts) < b.settings.MaxAttempts {
		timeout = min(timeout, Microseconds(attemptTimeoutMeanLatencies*req.classState.latency.mean))
	}
	return max(timeout, 1)
}
