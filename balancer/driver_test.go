package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// driver generates random events that the protocol allows, for one Balancer.
type driver struct {
	t            *testing.T
	random       *rand.Rand
	checker      *rulesChecker
	balancer     *Balancer
	now          Microseconds
	requestCount int
	openRequests []string      // those with an outstanding attempt or without a final answer
	beforeStep   func(*driver) // may be nil
}

// restart replaces the Balancer with a new one.
func (d *driver) restart() {
	b, err := New(d.checker.settings, d.random.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.balancer, d.openRequests = b, nil
	c := d.checker
	c.requests, c.queues = map[string]*trackedRequest{}, map[string][]*trackedRequest{}
	c.listed, c.notReadySince = map[string]Endpoint{}, map[string]Microseconds{}
	c.cooldownUntil = map[string]Microseconds{}
	c.requestTimes, c.retryTimes, c.timers = nil, nil, nil
	d.completeUpdate(CachedUpdate)
}

// randomEndpoint returns the entry of an endpoint, which may be draining or have started recently.
func (d *driver) randomEndpoint(i int) Endpoint {
	e := Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i % 2, Cell: i / 4, State: Ready, Capacity: 1}
	switch d.random.IntN(6) {
	case 0:
		e.State = Draining
	case 1:
		e.StartedAt = d.now - randomDuration(d.random, d.checker.settings.SlowStartDuration)
	}
	return e
}

// driverEndpoints is the number of endpoints.
const driverEndpoints = 16

// completeUpdate sends a complete list, in which some endpoints are missing.
func (d *driver) completeUpdate(kind UpdateKind) {
	var list []Endpoint
	for i := range driverEndpoints {
		if d.random.IntN(5) > 0 {
			list = append(list, d.randomEndpoint(i))
		}
	}
	d.checker.recordUpdate(kind, list)
	d.balancer.UpdateEndpoints(d.now, d.checker, kind, list)
}

// incrementalUpdate changes or removes one endpoint.
func (d *driver) incrementalUpdate() {
	e := d.randomEndpoint(d.random.IntN(driverEndpoints))
	if _, known := d.checker.listed[e.ID]; known && d.random.IntN(4) == 0 {
		e.State = Removed
	}
	d.checker.recordUpdate(IncrementalUpdate, []Endpoint{e})
	d.balancer.UpdateEndpoints(d.now, d.checker, IncrementalUpdate, []Endpoint{e})
}

// arrive has a request arrive.
func (d *driver) arrive() {
	d.requestCount++
	settings := &d.checker.settings
	r := Request{
		ID:       fmt.Sprintf("r%d", d.requestCount),
		Class:    d.random.IntN(len(settings.Classes)),
		Tenant:   d.random.IntN(len(settings.Tenants) + 1),
		Deadline: d.now + 1000 + randomDuration(d.random, 1_500_000),
	}
	if n := d.random.IntN(8); n > 0 {
		r.Key = fmt.Sprint("key", n)
	}
	req := &trackedRequest{request: r, class: settings.Classes[r.Class]}
	d.checker.requests[r.ID] = req
	d.checker.requestTimes = append(d.checker.requestTimes, d.now)
	if req.class.OrderedByKey {
		d.checker.queues[r.Key] = append(d.checker.queues[r.Key], req)
	}
	d.openRequests = append(d.openRequests, r.ID)
	d.balancer.HandleRequest(d.now, d.checker, r)
	d.checkNotLost(r.ID)
}

// checkNotLost checks that a request is closed, has an outstanding attempt, or waits in the queue of its key
// with a timer: nothing else would ever end it.
func (d *driver) checkNotLost(id string) {
	req := d.checker.requests[id]
	waits := len(req.attempts) == 0 && req.class.OrderedByKey && req.request.Key != "" &&
		slices.ContainsFunc(d.checker.timers, func(t pendingTimer) bool {
			return t.due <= req.request.Deadline && strings.Contains(t.token, id)
		})
	if !req.closed && len(req.pending) == 0 && !waits {
		d.checker.addViolation("rule 1: %s is neither closed nor outstanding nor waiting", id)
	}
}

// endOpenRequest ends an attempt of a random open request.
func (d *driver) endOpenRequest() {
	if len(d.openRequests) == 0 {
		return
	}
	i := d.random.IntN(len(d.openRequests))
	id := d.openRequests[i]
	req := d.checker.requests[id]
	if len(req.pending) == 0 {
		if req.closed {
			d.openRequests = slices.Delete(d.openRequests, i, i+1)
		}
		return
	}
	statuses := []Status{OK, OK, OK, Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotAttempted}
	d.endAttempt(req, statuses[d.random.IntN(len(statuses))])
	d.checkNotLost(id)
}

// endAttempt ends the oldest outstanding attempt of a request.
func (d *driver) endAttempt(req *trackedRequest, status Status) {
	n := req.pending[0]
	req.pending = req.pending[1:]
	a := req.attempts[n]
	a.ended = true
	if req.class.OrderedByKey && (status == TimedOut || status == Reset || status == Cancelled) {
		cooldowns, key := d.checker.cooldownUntil, req.request.Key
		cooldowns[key] = max(cooldowns[key], d.now+a.settings.OrderedKeyCooldown)
	}
	a.mayHaveRun = (status != Rejected || a.settings.RejectedMayRun) && status != ConnectFailed && status != NotAttempted
	if status == OK {
		req.closed = true
	}
	d.balancer.HandleOutcome(d.now, d.checker, Outcome{ID: req.request.ID, Attempt: n, Status: status,
		Latency: d.now - a.sentAt, RequestDone: req.closed})
}

// fireDue fires the timers that are due, and ends the attempts whose timeout has passed.
func (d *driver) fireDue() {
	for i := 0; i < len(d.checker.timers); i++ {
		if t := d.checker.timers[i]; t.due <= d.now {
			d.checker.timers = slices.Delete(d.checker.timers, i, i+1)
			i = -1
			d.balancer.TimerFired(d.now, d.checker, t.token)
		}
	}
	for _, id := range slices.Clone(d.openRequests) {
		req := d.checker.requests[id]
		for len(req.pending) > 0 && req.attempts[req.pending[0]].timesOutAt() <= d.now {
			d.endAttempt(req, TimedOut)
			d.checkNotLost(id)
		}
	}
}

// nextDue returns the time at which the next timer or timeout is due, but at most 20 ms from now.
func (d *driver) nextDue() Microseconds {
	due := d.now + 20_000
	for _, id := range d.openRequests {
		for _, n := range d.checker.requests[id].pending {
			due = min(due, d.checker.requests[id].attempts[n].timesOutAt())
		}
	}
	for _, t := range d.checker.timers {
		due = min(due, t.due)
	}
	return max(due, d.now)
}

// step advances the time and generates an event.
func (d *driver) step() {
	if d.beforeStep != nil {
		d.beforeStep(d)
	}
	d.now = min(d.now+randomDuration(d.random, 20_000), d.nextDue())
	d.checker.now = d.now
	d.fireDue()
	switch x := d.random.IntN(1000); {
	case x < 450:
		d.arrive()
	case x < 900:
		d.endOpenRequest()
	case x < 930:
		d.incrementalUpdate()
	case x < 936:
		d.completeUpdate(FullUpdate)
	case x < 942:
		d.balancer.UpdateEndpoints(d.now, d.checker, FailedUpdate, nil)
	case x < 960 && len(d.checker.timers) > 0: // a timer that may have fired already
		d.balancer.TimerFired(d.now, d.checker, timerToken{kind: subscribeTimer}.String())
	case x < 975:
		d.cancel()
	case x < 985: // events with unknown IDs
		d.balancer.HandleOutcome(d.now, d.checker, Outcome{ID: "nobody", Attempt: 3, Status: Error})
		d.balancer.CancelRequest(d.now, d.checker, "nobody")
		d.balancer.TimerFired(d.now, d.checker, "nothing")
		d.balancer.ResponseStarted(d.now, "nobody")
	case x < 988:
		d.restart()
	}
}

// cancel cancels a random open request.
func (d *driver) cancel() {
	if len(d.openRequests) == 0 {
		return
	}
	req := d.checker.requests[d.openRequests[d.random.IntN(len(d.openRequests))]]
	req.closed = true
	d.balancer.CancelRequest(d.now, d.checker, req.request.ID)
}

// runRandomEvents generates a sequence of events. It returns the actions of the Balancer and the violations
// of rules. beforeStep is called before each step and may be nil.
func runRandomEvents(t *testing.T, seed uint64, steps int, beforeStep func(*driver)) (actions, violations []string) {
	t.Helper()
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 0.6, RateQuota: 30}, {QuotaFraction: 0.4, RateQuota: 20}}
	s.Tier = int(seed % 2)
	s.SubscribeRequired, s.MaxPollInterval = seed%3 == 0, 10*second
	s.MaxRetryAfter = Microseconds(seed%2) * second
	s.RejectedMayRun = seed%4 < 2
	s.Classes[0].OrderedByKey, s.Classes[2].OrderedByKey = seed%2 == 0, seed%8 < 5
	s.OrderedKeyCooldown = Microseconds(seed%3) * 50_000
	if seed%5 > 1 {
		s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	}
	d := &driver{t: t, random: rand.New(rand.NewPCG(seed, 1)), checker: &rulesChecker{settings: s, now: testStart},
		now: testStart, beforeStep: beforeStep}
	d.restart()
	for range steps {
		d.step()
	}
	return d.checker.actions, d.checker.violations
}
