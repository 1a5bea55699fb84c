package balancer

import "slices"

const (
	defaultRetryBudgetWindow = 10 * second
	defaultRetryBudgetMin    = 5.0
	defaultRetryBudgetRatio  = 0.1
	retryHistory             = 60 * second // retries are remembered so long: RetryBudgetWindow may grow

	dedupSendMargin   = second / 50 // writing a retry and the way to the endpoint take less
	maxRetryAfterPart = 0.5         // of the latency objective: the longest Retry-After
)

// setDefaultRetryBudget sets the default budget where the settings state none.
func (s *Settings) setDefaultRetryBudget() {
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow = defaultRetryBudgetWindow
		s.RetryBudgetMin, s.RetryBudgetRatio = defaultRetryBudgetMin, defaultRetryBudgetRatio
	}
}

// retryBudget counts requests and retries, for the budget that Settings state.
type retryBudget struct {
	requests timeline
	retries  timeline
}

func (r *retryBudget) recordRequest(now Microseconds, s *Settings) {
	r.requests.add(now, s.RetryBudgetWindow)
}

func (r *retryBudget) recordRetry(now Microseconds, s *Settings) {
	r.retries.add(now, max(s.RetryBudgetWindow, retryHistory))
}

// exhausted reports whether a retry would be over the budget. The budget is exact in the window that ends
// now: a retry at its far edge counts, a request there does not.
func (r *retryBudget) exhausted(now Microseconds, s *Settings) bool {
	from := now - s.RetryBudgetWindow
	return r.retries.since(from)+1 > s.RetryBudgetMin+s.RetryBudgetRatio*r.requests.since(from+1)
}

// retry makes a further attempt where time, limits, idempotency and the budget allow one. It returns
// false if it made none.
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

// dedupDeadline is when a retry's last byte must be sent at the latest: later it might reach endpoints that
// have forgotten the first attempt that may have run. It is 0 while none may have run, and for classes
// without idempotency key.
func (req *request) dedupDeadline() Microseconds {
	first := slices.IndexFunc(req.attempts, (*attempt).mayHaveRun) // they are in order
	if first < 0 || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.attempts[first].decidedAt + req.class.DedupWindow - dedupSendMargin
}

// mayRetryAt reports whether idempotency allows a further attempt at an endpoint: once an attempt may have
// run, a request that is not idempotent goes nowhere, and one with an idempotency key only within the scope
// that drops repeats, while that remembers it.
func (req *request) mayRetryAt(now Microseconds, ep *endpoint) bool {
	class := req.class
	for _, a := range req.attempts {
		if !a.mayRun || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent || now >= req.dedupDeadline() ||
			!class.DedupScope.covers(a, ep) {
			return false
		}
	}
	return true
}

// covers reports whether the endpoint drops repeats of an attempt.
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

// mayReject reports whether a request may be rejected, which promises the client that a retry is harmless.
// Once an attempt may have run, that holds only where all endpoints drop repeats, and for a client that comes
// again while they do.
func (b *Balancer) mayReject(now Microseconds, req *request) bool {
	class := req.class
	return class.Idempotency == Idempotent || !slices.ContainsFunc(req.attempts, (*attempt).mayHaveRun) ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupTier &&
			now+b.settings.maxRetryAfter(class) < req.dedupDeadline()
}

// maxRetryAfter is the longest Retry-After for a class: a client that comes back later misses the objective.
func (s *Settings) maxRetryAfter(class *Class) Microseconds {
	return min(s.MaxRetryAfter, Microseconds(maxRetryAfterPart*float64(class.LatencyObjective)))
}
