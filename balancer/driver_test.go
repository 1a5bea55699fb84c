package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// driver plays legal events against one balancer.
type driver struct {
	t            *testing.T
	random       *rand.Rand
	checker      *rulesChecker
	balancer     *Balancer
	now          Microseconds
	requestCount int
	openRequests []string // requests that have an attempt out or are owed an answer

	beforeStep func(*driver) // called before each step; may be nil
}

func (d *driver) restart() {
	b, err := New(d.checker.settings, d.random.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.balancer, d.openRequests = b, nil
	d.checker.requests, d.checker.listed, d.checker.notReadySince = map[string]*trackedRequest{}, map[string]Endpoint{}, map[string]Microseconds{}
	d.checker.queues, d.checker.cooldownUntil, d.checker.requestTimes, d.checker.retryTimes, d.checker.timers = map[string][]*trackedRequest{}, map[string]Microseconds{}, nil, nil, nil
	d.completeUpdate(CachedUpdate)
}

func (d *driver) drawEndpoint(i int) Endpoint {
	s := Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i % 2, Cell: i / 4, State: Ready, Capacity: 1}
	switch d.random.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.StartedAt = d.now - drawTime(d.random, d.checker.settings.SlowStartDuration)
	}
	return s
}

const driverEndpoints = 16

func (d *driver) completeUpdate(kind UpdateKind) {
	var list []Endpoint
	for i := range driverEndpoints {
		if d.random.IntN(5) > 0 {
			list = append(list, d.drawEndpoint(i))
		}
	}
	d.checker.recordUpdate(kind, list)
	d.balancer.UpdateEndpoints(d.now, d.checker, kind, list)
}

func (d *driver) incrementalUpdate() {
	e := d.drawEndpoint(d.random.IntN(driverEndpoints))
	if _, known := d.checker.listed[e.ID]; known && d.random.IntN(4) == 0 {
		e.State = Removed
	}
	d.checker.recordUpdate(IncrementalUpdate, []Endpoint{e})
	d.balancer.UpdateEndpoints(d.now, d.checker, IncrementalUpdate, []Endpoint{e})
}

func (d *driver) newRequest() {
	d.requestCount++
	r := Request{ID: fmt.Sprintf("r%d", d.requestCount), Class: d.random.IntN(len(d.checker.settings.Classes)),
		Tenant: d.random.IntN(len(d.checker.settings.Tenants) + 1), Deadline: d.now + 1000 + drawTime(d.random, 1_500_000)}
	if n := d.random.IntN(8); n > 0 {
		r.Key = fmt.Sprint("key", n)
	}
	k := &trackedRequest{request: r, class: d.checker.settings.Classes[r.Class]}
	d.checker.requests[r.ID] = k
	d.checker.requestTimes = append(d.checker.requestTimes, d.now)
	if k.class.OrderedByKey {
		d.checker.queues[r.Key] = append(d.checker.queues[r.Key], k)
	}
	d.openRequests = append(d.openRequests, r.ID)
	d.balancer.HandleRequest(d.now, d.checker, r)
	d.checkNotLost(r.ID)
}

// checkNotLost checks that a request is answered, out or waiting for its turn with a timer set: none may be
// left with nobody to end it.
func (d *driver) checkNotLost(id string) {
	k := d.checker.requests[id]
	waits := len(k.attempts) == 0 && k.class.OrderedByKey && k.request.Key != "" &&
		slices.ContainsFunc(d.checker.timers, func(t pendingTimer) bool { return t.due <= k.request.Deadline && strings.Contains(t.token, id) })
	if !k.closed && len(k.pending) == 0 && !waits {
		d.checker.violation("rule 1: %s is neither answered nor out", id)
	}
}

func (d *driver) endOpenRequest() {
	if len(d.openRequests) == 0 {
		return
	}
	i := d.random.IntN(len(d.openRequests))
	id := d.openRequests[i]
	k := d.checker.requests[id]
	if len(k.pending) == 0 {
		if k.closed {
			d.openRequests = slices.Delete(d.openRequests, i, i+1)
		}
		return
	}
	d.endAttempt(k, []Status{OK, OK, OK, Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotAttempted}[d.random.IntN(10)])
	d.checkNotLost(id)
}

func (d *driver) endAttempt(k *trackedRequest, status Status) {
	n := k.pending[0]
	k.pending = k.pending[1:]
	t := k.attempts[n]
	t.ended = true
	if k.class.OrderedByKey && (status == TimedOut || status == Reset || status == Cancelled) {
		d.checker.cooldownUntil[k.request.Key] = max(d.checker.cooldownUntil[k.request.Key], d.now+t.settings.OrderedKeyCooldown)
	}
	t.mayHaveRun = (status != Rejected || t.settings.RejectedMayRun) && status != ConnectFailed && status != NotAttempted
	if status == OK {
		k.closed = true
	}
	d.balancer.HandleOutcome(d.now, d.checker, Outcome{ID: k.request.ID, Attempt: n, Status: status, Latency: d.now - t.sentAt, RequestDone: k.closed})
}

// fireDue brings the timers and time-outs that are due, as the wire does at an attempt's or a client's time.
func (d *driver) fireDue() {
	for i := 0; i < len(d.checker.timers); i++ {
		if t := d.checker.timers[i]; t.due <= d.now {
			d.checker.timers = slices.Delete(d.checker.timers, i, i+1)
			i = -1
			d.balancer.TimerFired(d.now, d.checker, t.token)
		}
	}
	for _, id := range slices.Clone(d.openRequests) {
		k := d.checker.requests[id]
		for len(k.pending) > 0 && k.attempts[k.pending[0]].sentAt+k.attempts[k.pending[0]].timeout <= d.now {
			d.endAttempt(k, TimedOut)
			d.checkNotLost(id)
		}
	}
}

// nextDue is when the first time-out falls due.
func (d *driver) nextDue() Microseconds {
	due := d.now + 20_000
	for _, id := range d.openRequests {
		for _, n := range d.checker.requests[id].pending {
			due = min(due, d.checker.requests[id].attempts[n].sentAt+d.checker.requests[id].attempts[n].timeout)
		}
	}
	for _, t := range d.checker.timers {
		due = min(due, t.due)
	}
	return max(due, d.now)
}

func (d *driver) step() {
	if d.beforeStep != nil {
		d.beforeStep(d)
	}
	d.now = min(d.now+drawTime(d.random, 20_000), d.nextDue())
	d.checker.now = d.now
	d.fireDue()
	switch x := d.random.IntN(1000); {
	case x < 450:
		d.newRequest()
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
	case x < 985: // events that name nothing known
		d.balancer.HandleOutcome(d.now, d.checker, Outcome{ID: "nobody", Attempt: 3, Status: Error})
		d.balancer.CancelRequest(d.now, d.checker, "nobody")
		d.balancer.TimerFired(d.now, d.checker, "nothing")
		d.balancer.ResponseStarted(d.now, "nobody")
	case x < 988:
		d.restart()
	}
}

func (d *driver) cancel() {
	if len(d.openRequests) == 0 {
		return
	}
	k := d.checker.requests[d.openRequests[d.random.IntN(len(d.openRequests))]]
	k.closed = true
	d.balancer.CancelRequest(d.now, d.checker, k.request.ID)
}

// runRandomEvents drives a whole sequence and returns what the module did and what it did wrong. change may be nil, or may
// reconfigure the module before each step.
func runRandomEvents(t *testing.T, seed uint64, steps int, change func(*driver)) ([]string, []string) {
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
	d := &driver{t: t, random: rand.New(rand.NewPCG(seed, 1)), checker: &rulesChecker{settings: s, now: testStart}, now: testStart, beforeStep: change}
	d.restart()
	for range steps {
		d.step()
	}
	return d.checker.actions, d.checker.violations
}
