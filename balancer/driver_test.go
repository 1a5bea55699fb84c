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
	t    *testing.T
	rnd  *rand.Rand
	c    *checker
	b    *Balancer
	now  Microseconds
	next int
	open []string // requests that have an attempt out or are owed an answer

	change func(*driver) // called before each step; may be nil
}

func (d *driver) restart() {
	b, err := New(d.c.set, d.rnd.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.b, d.open = b, nil
	d.c.reqs, d.c.told, d.c.leftAt = map[string]*book{}, map[string]Endpoint{}, map[string]Microseconds{}
	d.c.queues, d.c.rested, d.c.taken, d.c.further, d.c.timers = map[string][]*book{}, map[string]Microseconds{}, nil, nil, nil
	d.whole(CachedUpdate)
}

func (d *driver) entry(i int) Endpoint {
	s := Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i % 2, Cell: i / 4, State: Ready, Capacity: 1}
	switch d.rnd.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.StartedAt = d.now - drawTime(d.rnd, d.c.set.SlowStartDuration)
	}
	return s
}

const testFleet = 16

func (d *driver) whole(kind UpdateKind) {
	var list []Endpoint
	for i := range testFleet {
		if d.rnd.IntN(5) > 0 {
			list = append(list, d.entry(i))
		}
	}
	d.c.list(kind, list)
	d.b.UpdateEndpoints(d.now, d.c, kind, list)
}

func (d *driver) delta() {
	e := d.entry(d.rnd.IntN(testFleet))
	if _, known := d.c.told[e.ID]; known && d.rnd.IntN(4) == 0 {
		e.State = Removed
	}
	d.c.list(IncrementalUpdate, []Endpoint{e})
	d.b.UpdateEndpoints(d.now, d.c, IncrementalUpdate, []Endpoint{e})
}

func (d *driver) request() {
	d.next++
	r := Request{ID: fmt.Sprintf("r%d", d.next), Class: d.rnd.IntN(len(d.c.set.Classes)),
		Tenant: d.rnd.IntN(len(d.c.set.Tenants) + 1), Deadline: d.now + 1000 + drawTime(d.rnd, 1_500_000)}
	if n := d.rnd.IntN(8); n > 0 {
		r.Key = fmt.Sprint("key", n)
	}
	k := &book{r: r, class: d.c.set.Classes[r.Class]}
	d.c.reqs[r.ID] = k
	d.c.taken = append(d.c.taken, d.now)
	if k.class.OrderedByKey {
		d.c.queues[r.Key] = append(d.c.queues[r.Key], k)
	}
	d.open = append(d.open, r.ID)
	d.b.HandleRequest(d.now, d.c, r)
	d.mustBeHeld(r.ID)
}

// mustBeHeld checks that a request is answered, out or waiting for its turn with a timer set: none may be
// left with nobody to end it.
func (d *driver) mustBeHeld(id string) {
	k := d.c.reqs[id]
	waits := len(k.tries) == 0 && k.class.OrderedByKey && k.r.Key != "" &&
		slices.ContainsFunc(d.c.timers, func(t timer) bool { return t.due <= k.r.Deadline && strings.Contains(t.token, id) })
	if !k.closed && len(k.pending) == 0 && !waits {
		d.c.fault("rule 1: %s is neither answered nor out", id)
	}
}

func (d *driver) outcome() {
	if len(d.open) == 0 {
		return
	}
	i := d.rnd.IntN(len(d.open))
	id := d.open[i]
	k := d.c.reqs[id]
	if len(k.pending) == 0 {
		if k.closed {
			d.open = slices.Delete(d.open, i, i+1)
		}
		return
	}
	d.end(k, []Status{OK, OK, OK, Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotAttempted}[d.rnd.IntN(10)])
	d.mustBeHeld(id)
}

func (d *driver) end(k *book, status Status) {
	n := k.pending[0]
	k.pending = k.pending[1:]
	t := k.tries[n]
	t.done = true
	if k.class.OrderedByKey && (status == TimedOut || status == Reset || status == Cancelled) {
		d.c.rested[k.r.Key] = max(d.c.rested[k.r.Key], d.now+t.set.OrderedKeyCooldown)
	}
	t.ran = (status != Rejected || t.set.RejectedMayRun) && status != ConnectFailed && status != NotAttempted
	if status == OK {
		k.closed = true
	}
	d.b.HandleOutcome(d.now, d.c, Outcome{ID: k.r.ID, Attempt: n, Status: status, Latency: d.now - t.sent, RequestDone: k.closed})
}

// expire brings the timers and time-outs that are due, as the wire does at an attempt's or a client's time.
func (d *driver) expire() {
	for i := 0; i < len(d.c.timers); i++ {
		if t := d.c.timers[i]; t.due <= d.now {
			d.c.timers = slices.Delete(d.c.timers, i, i+1)
			i = -1
			d.b.TimerFired(d.now, d.c, t.token)
		}
	}
	for _, id := range slices.Clone(d.open) {
		k := d.c.reqs[id]
		for len(k.pending) > 0 && k.tries[k.pending[0]].sent+k.tries[k.pending[0]].timeout <= d.now {
			d.end(k, TimedOut)
			d.mustBeHeld(id)
		}
	}
}

// nextDue is when the first time-out falls due.
func (d *driver) nextDue() Microseconds {
	due := d.now + 20_000
	for _, id := range d.open {
		for _, n := range d.c.reqs[id].pending {
			due = min(due, d.c.reqs[id].tries[n].sent+d.c.reqs[id].tries[n].timeout)
		}
	}
	for _, t := range d.c.timers {
		due = min(due, t.due)
	}
	return max(due, d.now)
}

func (d *driver) step() {
	if d.change != nil {
		d.change(d)
	}
	d.now = min(d.now+drawTime(d.rnd, 20_000), d.nextDue())
	d.c.now = d.now
	d.expire()
	switch x := d.rnd.IntN(1000); {
	case x < 450:
		d.request()
	case x < 900:
		d.outcome()
	case x < 930:
		d.delta()
	case x < 936:
		d.whole(FullUpdate)
	case x < 942:
		d.b.UpdateEndpoints(d.now, d.c, FailedUpdate, nil)
	case x < 960 && len(d.c.timers) > 0: // a stale copy of a timer
		d.b.TimerFired(d.now, d.c, timerToken{kind: subscribeTimer}.String())
	case x < 975:
		d.withdraw()
	case x < 985: // events that name nothing known
		d.b.HandleOutcome(d.now, d.c, Outcome{ID: "nobody", Attempt: 3, Status: Error})
		d.b.CancelRequest(d.now, d.c, "nobody")
		d.b.TimerFired(d.now, d.c, "nothing")
		d.b.ResponseStarted(d.now, "nobody")
	case x < 988:
		d.restart()
	}
}

func (d *driver) withdraw() {
	if len(d.open) == 0 {
		return
	}
	k := d.c.reqs[d.open[d.rnd.IntN(len(d.open))]]
	k.closed = true
	d.b.CancelRequest(d.now, d.c, k.r.ID)
}

// play drives a whole sequence and returns what the module did and what it did wrong. change may be nil, or may
// reconfigure the module before each step.
func play(t *testing.T, seed uint64, steps int, change func(*driver)) ([]string, []string) {
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
	d := &driver{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), c: &checker{set: s, now: start}, now: start, change: change}
	d.restart()
	for range steps {
		d.step()
	}
	return d.c.lines, d.c.faults
}
