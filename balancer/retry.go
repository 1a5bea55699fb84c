package balancer

import "slices"

const (
	defaultRetryBudgetWindow = 10 * second
	defaultRetryBudgetMin    = 5.0
	defaultRetryBudgetRatio  = 0.1
	retryRetention           = 60 * second // retries are kept this long: RetryBudgetWindow may be increased

	dedupSendMargin       = second / 50 // more than the time to write and transmit a retry
	maxRetryAfterFraction = 0.5         // of the latency objective: upper bound of Retry-After
)

// setDefaultRetryBudget applies the default retry budget if the settings contain none.
func (s *Settings) setDefaultRetryBudget() {
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow = defaultRetryBudgetWindow
		s.RetryBudgetMin, s.RetryBudgetRatio = defaultRetryBudgetMin, defaultRetryBudgetRatio
	}
}

// retryBudget records requests and retries to enforce the retry budget of the settings.
type retryBudget struct {
	requests timeline
	retries  timeline
}

func (r *retryBudget) recordRequest(now Microseconds, s *Settings) {
	r.requests.add(now, s.RetryBudgetWindow)
}

func (r *retryBudget) recordRetry(now Microseconds, s *Settings) {
	r.retries.add(now, max(s.RetryBudgetWindow, retryRetention))
}

// exhausted reports whether another retry would exceed the budget. The budget holds exactly in the window
// that ends now: a retry at the very start of the window counts, a request at that time does not.
func (r *retryBudget) exhausted(now Microseconds, s *Settings) bool {
	from := now - s.RetryBudgetWindow
	return r.retries.countSince(from)+1 > s.RetryBudgetMin+s.RetryBudgetRatio*r.requests.countSince(from+1)
}

// retry makes another attempt if time, limits, idempotency and the retry budget allow it. It returns false if
// it made none.
func (b *Balancer) retry(now Microseconds, host Host, req *request) bool {
	u := b.random.Float64()
	if len(req.attempts) >= b.settings.MaxAttempts || !req.canFinishInTime(now, b.settings) ||
		!b.tierLimit.admits(u) || !req.classState.limit.admits(u) || b.retries.exhausted(now, b.settings) {
		return false
	}
	if !b.send(now, host, req) {
		return false
	}
	b.retries.recordRetry(now, b.settings)
	return true
}

// dedupDeadline returns the time by which the last byte of a retry must be sent. Sent later, the retry might
// reach endpoints that no longer remember the first attempt that may have run. dedupDeadline returns 0 if no
// attempt may have run, and for classes without an idempotency key.
func (req *request) dedupDeadline() Microseconds {
	first := slices.IndexFunc(req.attempts, (*attempt).mayHaveRun) // attempts are in the order of sending
	if first < 0 || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.attempts[first].decidedAt + req.class.DedupWindow - dedupSendMargin
}

// mayRetryOn reports whether idempotency allows another attempt at an endpoint. Once an attempt may have run,
// a request that is not idempotent must not be sent again. A request with an idempotency key may then be sent
// again only within the scope and the window in which endpoints deduplicate it.
func (req *request) mayRetryOn(now Microseconds, ep *endpoint) bool {
	class := req.class
	for _, a := range req.attempts {
		if !a.possiblyRan || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent || now >= req.dedupDeadline() ||
			!class.DedupScope.covers(a, ep) {
			return false
		}
	}
	return true
}

// covers reports whether the endpoint is in the scope that deduplicates repeats of the attempt.
func (s DedupScope) covers(a *attempt, ep *endpoint) bool {
	switch s {
	case DedupZone:
		return a.zone == ep.Zone
	case DedupCell:
		return a.cell == ep.Cell
	default:
		return true
	}
}

// mayReject reports whether a request may be rejected, which promises the client that a retry is safe. It is
// safe if the request is idempotent or no attempt may have run. Otherwise, all endpoints of the tier must
// deduplicate the request, and the client must retry within the dedup window.
func (b *Balancer) mayReject(now Microseconds, req *request) bool {
	class := req.class
	return class.Idempotency == Idempotent || !slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupTier &&
			now+b.settings.maxRetryAfter(class) < req.dedupDeadline()
}

// maxRetryAfter returns the longest Retry-After for a class: a client that retries later misses the
// objective.
func (s *Settings) maxRetryAfter(class *Class) Microseconds {
	return min(s.MaxRetryAfter, Microseconds(maxRetryAfterFraction*float64(class.LatencyObjective)))
}
