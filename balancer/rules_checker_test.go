package balancer

import "fmt"

// rulesChecker is a Host that checks the actions of a Balancer against the rules of the protocol. It keeps
// its own records, which share nothing with the Balancer. Violations refer to rules by their numbers in the
// protocol:
//
//	1: Each request gets exactly one final answer, by its deadline, and is not sent afterwards.
//	2: A request is sent again or rejected only as far as its idempotency and deduplication allow.
//	3: Sends to an endpoint end within Settings.DrainGrace after it was listed as draining or removed.
//	5: Ordered requests with the same key run one at a time, in order of arrival, with cooldowns.
//	6: Retries stay within the retry budget.
type rulesChecker struct {
	settings      Settings
	now           Microseconds
	actions       []string
	requests      map[string]*trackedRequest
	listed        map[string]Endpoint     // latest entry of each endpoint
	notReadySince map[string]Microseconds // when an endpoint was first listed as draining or removed
	violations    []string
	timers        []pendingTimer
	subscriptions int
	requestTimes  []Microseconds               // when requests arrived
	retryTimes    []Microseconds               // when retries were sent
	queues        map[string][]*trackedRequest // by key: ordered requests, in order of arrival
	cooldownUntil map[string]Microseconds      // by key: end of the cooldown
}

// pendingTimer is a timer that the Balancer has set.
type pendingTimer struct {
	due   Microseconds
	token string
}

// trackedRequest is the record of a request.
type trackedRequest struct {
	request  Request
	class    Class // as it was when the request arrived
	closed   bool  // it has its final answer, or its client has cancelled it
	attempts []*trackedAttempt
	pending  []int // numbers of the attempts without an outcome
}

// trackedAttempt is the record of an attempt.
type trackedAttempt struct {
	endpoint   Endpoint
	sentAt     Microseconds
	timeout    Microseconds
	settings   Settings // in force when it was sent
	ended      bool
	mayHaveRun bool // nothing proves that it never ran
}

// timesOutAt returns the time at which the attempt times out.
func (a *trackedAttempt) timesOutAt() Microseconds { return a.sentAt + a.timeout }

// addViolation records a violation of a rule.
func (c *rulesChecker) addViolation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now-testStart)+fmt.Sprintf(format, a...))
}

func (c *rulesChecker) Send(id, endpoint string, timeout, dedupDeadline Microseconds) {
	c.actions = append(c.actions, fmt.Sprintf("%d send %s %s %d", c.now, id, endpoint, timeout))
	req := c.requests[id]
	if req == nil || req.closed {
		c.addViolation("rule 1: %s sent after it had ended", id)
		return
	}
	listed, known := c.listed[endpoint]
	if !known {
		c.addViolation("%s sent to unknown endpoint %s", id, endpoint)
		return
	}
	if since, ok := c.notReadySince[endpoint]; ok && c.now-since > c.settings.DrainGrace {
		c.addViolation("rule 3: %s sent to %s, which has not been ready for %d us", id, endpoint, c.now-since)
	}
	if len(req.attempts) >= c.settings.MaxAttempts {
		c.addViolation("%s sent more than %d times", id, c.settings.MaxAttempts)
	}
	for _, earlier := range req.attempts {
		c.checkRetry(req, earlier, listed, dedupDeadline)
	}
	if len(req.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(req)
	if timeout < 0 || c.now+timeout > req.request.Deadline {
		c.addViolation("rule 1: timeout of %s is %d us after its deadline",
			id, c.now+timeout-req.request.Deadline)
	}
	if timeout == 0 {
		timeout = req.request.Deadline - c.now
	}
	req.pending = append(req.pending, len(req.attempts))
	req.attempts = append(req.attempts, &trackedAttempt{endpoint: listed, sentAt: c.now, timeout: timeout,
		settings: c.settings, mayHaveRun: true})
}

// checkBudget records a retry and checks the retry budget.
func (c *rulesChecker) checkBudget(id string) {
	c.retryTimes = append(c.retryTimes, c.now)
	within := func(times []Microseconds) (n float64) {
		for _, at := range times {
			if at > c.now-c.settings.RetryBudgetWindow {
				n++
			}
		}
		return n
	}
	most := c.settings.RetryBudgetMin + c.settings.RetryBudgetRatio*within(c.requestTimes)
	if c.settings.RetryBudgetWindow > 0 && within(c.retryTimes) > most {
		c.addViolation("rule 6: retry of %s exceeds the retry budget", id)
	}
}

// checkOrder checks the order of requests with the same key.
func (c *rulesChecker) checkOrder(req *trackedRequest) {
	if !req.class.OrderedByKey || req.request.Key == "" {
		return
	}
	for _, earlier := range c.queues[req.request.Key] {
		if earlier == req {
			break
		}
		if !earlier.closed || len(earlier.pending) > 0 {
			c.addViolation("rule 5: %s sent before %s had ended", req.request.ID, earlier.request.ID)
		}
	}
	if until := c.cooldownUntil[req.request.Key]; len(req.attempts) == 0 && c.now < until {
		c.addViolation("rule 5: %s sent %d us before the end of the cooldown of its key",
			req.request.ID, until-c.now)
	}
}

// checkRetry checks a retry against an earlier attempt.
func (c *rulesChecker) checkRetry(req *trackedRequest, earlier *trackedAttempt, to Endpoint, dedupDeadline Microseconds) {
	class := req.class
	if !earlier.ended {
		c.addViolation("%s has two attempts outstanding", req.request.ID)
	}
	if !earlier.mayHaveRun || class.Idempotency == Idempotent {
		return
	}
	inDedupScope := class.DedupScope == DedupTier ||
		class.DedupScope == DedupZone && earlier.endpoint.Zone == to.Zone ||
		class.DedupScope == DedupCell && earlier.endpoint.Cell == to.Cell
	if class.Idempotency == NotIdempotent || !inDedupScope || c.now-earlier.sentAt > class.DedupWindow {
		c.addViolation("rule 2: %s of class %d retried although an attempt may have run",
			req.request.ID, req.request.Class)
	}
	if end := earlier.sentAt + class.DedupWindow; dedupDeadline == 0 || dedupDeadline > end {
		c.addViolation("rule 2: %s may be retried until %d, but its dedup window ends at %d",
			req.request.ID, dedupDeadline, end)
	}
}

func (c *rulesChecker) Reject(id string, retryAfter Microseconds) {
	c.actions = append(c.actions, fmt.Sprintf("%d reject %s", c.now, id))
	req := c.close(id)
	if req == nil {
		return
	}
	class := req.class
	dedupedByTier := class.Idempotency == IdempotentWithKey && class.DedupScope == DedupTier
	for _, a := range req.attempts {
		if a.mayHaveRun && class.Idempotency != Idempotent && !dedupedByTier {
			c.addViolation("rule 2: %s rejected although an attempt may have run", id)
		}
		if a.mayHaveRun && class.Idempotency == IdempotentWithKey && c.now+retryAfter >= a.sentAt+class.DedupWindow {
			c.addViolation("rule 2: %s rejected with a Retry-After past its dedup window", id)
		}
	}
}

func (c *rulesChecker) Fail(id string) {
	c.actions = append(c.actions, fmt.Sprintf("%d fail %s", c.now, id))
	c.close(id)
}

// close records the final answer of a request. It returns nil if the request already has one.
func (c *rulesChecker) close(id string) *trackedRequest {
	req := c.requests[id]
	if req == nil || req.closed {
		c.addViolation("rule 1: %s answered twice", id)
		return nil
	}
	if c.now > req.request.Deadline {
		c.addViolation("rule 1: %s answered %d us late", id, c.now-req.request.Deadline)
	}
	req.closed = true
	return req
}

func (c *rulesChecker) SetTimer(delay Microseconds, token string) {
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *rulesChecker) Log(string) {}

func (c *rulesChecker) Subscribe() { c.subscriptions++ }

// recordUpdate records an update of the endpoint list.
func (c *rulesChecker) recordUpdate(kind UpdateKind, entries []Endpoint) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		c.listed[e.ID] = e
		if e.State == Ready {
			delete(c.notReadySince, e.ID)
		} else if _, ok := c.notReadySince[e.ID]; !ok {
			c.notReadySince[e.ID] = c.now
		}
	}
	if kind == IncrementalUpdate {
		return
	}
	for id := range c.listed {
		if _, ok := c.notReadySince[id]; !listed[id] && !ok {
			c.notReadySince[id] = c.now
		}
	}
}
