package balancer

import (
	"fmt"
)

// rulesChecker is a Host that checks the rules by its own books, which share nothing with the module.
type rulesChecker struct {
	settings      Settings
	now           Microseconds
	actions       []string
	requests      map[string]*trackedRequest
	listed        map[string]Endpoint     // what the list last said
	notReadySince map[string]Microseconds // when it first said that a endpoint drains or is gone
	violations    []string
	timers        []pendingTimer
	subscriptions int
	requestTimes  []Microseconds               // when requests came
	retryTimes    []Microseconds               // when attempts beyond a request's first were sent
	queues        map[string][]*trackedRequest // of each key: what must keep its order, as it came
	cooldownUntil map[string]Microseconds      // when a key may go on after an attempt that may still run
}

// pendingTimer is one that the module has asked for.
type pendingTimer struct {
	due   Microseconds
	token string
}

// trackedRequest is what the checker knows of a request.
type trackedRequest struct {
	request  Request
	class    Class // as it was when the request came
	closed   bool
	attempts []*trackedAttempt
	pending  []int
}

// trackedAttempt is one attempt.
type trackedAttempt struct {
	endpoint   Endpoint
	sentAt     Microseconds
	timeout    Microseconds
	settings   Settings // in force when it was sent
	ended      bool
	mayHaveRun bool // may have run
}

func (c *rulesChecker) violation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now-testStart)+fmt.Sprintf(format, a...))
}

func (c *rulesChecker) Send(id, endpoint string, timeout, lapse Microseconds) {
	c.actions = append(c.actions, fmt.Sprintf("%d send %s %s %d", c.now, id, endpoint, timeout))
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: %s sent after its end", id)
		return
	}
	s, known := c.listed[endpoint]
	if !known {
		c.violation("%s sent to unknown %s", id, endpoint)
		return
	}
	if left, ok := c.notReadySince[endpoint]; ok && c.now-left > c.settings.DrainGrace {
		c.violation("rule 3: %s sent to %s, which left %d us ago", id, endpoint, c.now-left)
	}
	if len(k.attempts) >= c.settings.MaxAttempts {
		c.violation("%s sent more than %d times", id, c.settings.MaxAttempts)
	}
	for _, t := range k.attempts {
		c.checkRepeat(k, t, s, lapse)
	}
	if len(k.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(k)
	if timeout < 0 || c.now+timeout > k.request.Deadline {
		c.violation("rule 1: %s may run %d us past its time", id, c.now+timeout-k.request.Deadline)
	}
	if timeout == 0 {
		timeout = k.request.Deadline - c.now
	}
	k.pending = append(k.pending, len(k.attempts))
	k.attempts = append(k.attempts, &trackedAttempt{endpoint: s, sentAt: c.now, timeout: timeout, settings: c.settings, mayHaveRun: true})
}

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
	if c.settings.RetryBudgetWindow > 0 && within(c.retryTimes) > c.settings.RetryBudgetMin+c.settings.RetryBudgetRatio*within(c.requestTimes) {
		c.violation("rule 6: %s sent beyond the budget", id)
	}
}

func (c *rulesChecker) checkOrder(k *trackedRequest) {
	if !k.class.OrderedByKey || k.request.Key == "" {
		return
	}
	for _, earlier := range c.queues[k.request.Key] {
		if earlier == k {
			break
		}
		if !earlier.closed || len(earlier.pending) > 0 {
			c.violation("rule 5: %s sent before %s was over", k.request.ID, earlier.request.ID)
		}
	}
	if len(k.attempts) == 0 && c.now < c.cooldownUntil[k.request.Key] {
		c.violation("rule 5: %s sent %d us before its key had rested", k.request.ID, c.cooldownUntil[k.request.Key]-c.now)
	}
}

func (c *rulesChecker) checkRepeat(k *trackedRequest, earlier *trackedAttempt, to Endpoint, lapse Microseconds) {
	class := k.class
	if !earlier.ended {
		c.violation("%s has two attempts out", k.request.ID)
	}
	if !earlier.mayHaveRun || class.Idempotency == Idempotent {
		return
	}
	sameGroup := class.DedupScope == DedupTier || class.DedupScope == DedupZone && earlier.endpoint.Zone == to.Zone ||
		class.DedupScope == DedupCell && earlier.endpoint.Cell == to.Cell
	if class.Idempotency == NotIdempotent || !sameGroup || c.now-earlier.sentAt > class.DedupWindow {
		c.violation("rule 2: %s of class %d sent again after it may have run", k.request.ID, k.request.Class)
	}
	if lapse == 0 || lapse > earlier.sentAt+class.DedupWindow {
		c.violation("rule 2: %s may be sent again until %d, its window ends at %d", k.request.ID, lapse, earlier.sentAt+class.DedupWindow)
	}
}

func (c *rulesChecker) Reject(id string, after Microseconds) {
	c.actions = append(c.actions, fmt.Sprintf("%d reject %s", c.now, id))
	k := c.close(id)
	if k == nil {
		return
	}
	class := k.class
	for _, t := range k.attempts {
		if t.mayHaveRun && class.Idempotency != Idempotent && !(class.Idempotency == IdempotentWithKey && class.DedupScope == DedupTier) {
			c.violation("rule 2: %s rejected after it may have run", id)
		}
		if t.mayHaveRun && class.Idempotency == IdempotentWithKey && c.now+after >= t.sentAt+class.DedupWindow {
			c.violation("rule 2: %s asked to come again when it may have been forgotten", id)
		}
	}
}

func (c *rulesChecker) Fail(id string) {
	c.actions = append(c.actions, fmt.Sprintf("%d fail %s", c.now, id))
	c.close(id)
}

func (c *rulesChecker) close(id string) *trackedRequest {
	k := c.requests[id]
	if k == nil || k.closed {
		c.violation("rule 1: %s answered twice", id)
		return nil
	}
	if c.now > k.request.Deadline {
		c.violation("rule 1: %s answered %d us late", id, c.now-k.request.Deadline)
	}
	k.closed = true
	return k
}

func (c *rulesChecker) SetTimer(delay Microseconds, token string) {
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}
func (c *rulesChecker) Log(line string) {}
func (c *rulesChecker) Subscribe()      { c.subscriptions++ }

// recordUpdate records what a list says, as the wire's page words it.
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
