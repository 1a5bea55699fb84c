package balancer

// The decisions of the balancer but for admission, which is in admission.go. The interface is in api.go.
//
// Before each send the rules are checked in order, as Sentinel's FlowSlot does: the tier's (thread grade,
// cluster node), the tenant's (QPS grade, origin node), the class's (thread grade, default node). A rule
// over its count fails fast and unsent. Counts are learned: they start high, rise after rounds of timely
// finishes and are cut after bad ones. A call that passes goes to a server by a weighted random draw.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	slowGain    = 0.1  // how far one finish moves a server's slowness
	firstWorth  = 4.0  // finishes that a fresh copy's first guess at a mean is worth
	slowMost    = 5.0  // times the mean: a single finish says no more than this
	heldPower   = 8.0  // how sharply a weight falls with the calls of this copy that its server holds
	triedPart   = 1e-6 // weight left to a server that the request has tried, for when there is no other
	healthFloor = 0.05 // health left to a failing server, for trials
	healthCut   = 0.3  // health kept after a failure that peers do not show
	healthRise  = 0.25 // part of the lost health that a success restores
	blameRatio  = 2.0  // a server is to blame when it fails this many times as often as all
	coldMargin  = 0.6  // part of its least capacity that a cold server is given
	coldMost    = 0.75 // and this times SlowStartOverload as much where too few others can take the rest
	owedSteps   = 200  // copies give a server put back its first calls in turn, this part of Cold apart

	hintPart = 0.5 // of the aim: the longest hint

	onTheWay = second / 50 // a repeat counts when its last byte has come: writing it and the way take less

	subsetLeast = 4.0      // servers that a copy spreads its calls over, at least
	subsetRoot  = 3.0      // and times the root of its calls a second, so that it meets each one often enough
	golden      = 0.618034 // steps of this part of a ring spread any number of starts evenly

	meanGain   = 0.05        // of the running means of time and of errors
	baseGain   = 0.001       // of the time under little load, upwards; it follows at once downwards
	firstMean  = 0.25        // of the aim: a fresh copy's guess at the mean time
	hangMeans  = 12.0        // an attempt is given up after this many mean times
	leastMeans = 0.5         // a request with less time left than this many mean times cannot make it
	ownSpan    = 10 * second // without a stated budget, this one holds
	ownFree    = 5.0         // further attempts in it, whatever was taken
	ownShare   = 0.1         // and for each request taken
	watchFirst = second / 4
	watchMost  = second // backoff of a failed subscription doubles up to this, lest changes are told late
	watchToken = "watch"
	heldToken  = "held " // and a request
	turnToken  = "turn " // and a key
)

// New returns a Balancer for the settings; all its random draws come from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{s: &Settings{}, rnd: rand.New(rand.NewPCG(seed, seed)), byID: map[string]*server{},
		detached: map[string]bool{}, awaited: map[string]Microseconds{}, tier: threadRule{count: startCount},
		reqs: map[string]*request{}, turns: map[string]*turn{}, backoff: watchFirst}
	b.share, b.spill, b.shareBad = shareStart, spillStart, sharePress
	if s.Tier > 0 {
		b.share, b.spill, b.shareBad = shareDeep, spillLow, shareDeep
	}
	b.shareMost = b.share
	b.configure(s)
	return b, nil
}

// UpdateEndpoints takes a list of servers or its changes.
func (b *Balancer) UpdateEndpoints(now Microseconds, h Host, kind UpdateKind, entries []Endpoint) {
	if kind == FailedUpdate {
		if b.asked { // many copies keep the list busy: back off, one ask at a time
			h.SetTimer(b.backoff+Microseconds(b.rnd.Int64N(int64(b.backoff))), watchToken)
			b.backoff = min(2*b.backoff, watchMost)
		}
		b.asked = false
		return
	}
	if kind != IncrementalUpdate {
		for _, s := range b.all {
			s.State = Removed // unless listed below
		}
	}
	for _, e := range entries {
		b.enter(e)
	}
	b.relist()
	if b.s.SubscribeRequired && !b.asked {
		b.asked = true
		h.Subscribe()
	}
	b.backoff = watchFirst
}

// relist forgets gone servers and gathers the ready ones. Rule 3 holds with no grace used: a server is
// out of the draw from the moment that the list says that it drains or is gone.
func (b *Balancer) relist() {
	b.all = slices.DeleteFunc(b.all, func(s *server) bool {
		if s.State == Removed {
			delete(b.byID, s.ID)
		}
		return s.State == Removed
	})
	b.ready = b.ready[:0]
	for _, s := range b.all {
		if s.State == Ready && !b.detached[s.ID] {
			b.ready = append(b.ready, s)
		}
	}
	b.rotate()
	slices.SortStableFunc(b.ready, func(x, y *server) int { // those owed a call come first
		return cmp.Compare(partOf(y.owed), partOf(x.owed))
	})
}

// Detach takes the operators' word that a server is to get nothing more. It stands beside what the list says,
// so that no list lifts it, nor has to name the server at all.
func (b *Balancer) Detach(id string) {
	b.detached[id] = true
	b.relist()
}

// Attach takes their word that a detached server may serve again. It may have restarted out of sight, so it
// comes back as one that starts now.
func (b *Balancer) Attach(now Microseconds, id string) {
	if s := b.byID[id]; s != nil && b.detached[id] {
		s.forget(b.slots)
		s.back, s.owed = now, true
	} else if b.detached[id] {
		b.awaited[id] = now
	}
	delete(b.detached, id)
	b.relist()
}

// rotate orders the ready servers so that this copy's subset comes first: they stand on a ring by their
// hashes, and copies start at places spread over it. Each server would otherwise hold a connection of every
// copy, which costs it capacity, and each copy would see too few calls to a server to judge it.
func (b *Balancer) rotate() {
	slices.SortFunc(b.ready, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
	})
	_, start := math.Modf(float64(b.s.ReplicaIndex) * golden)
	first := int(start * float64(len(b.ready)))
	b.ready = slices.Concat(b.ready[first:], b.ready[:first])
}

// subset is how many warm and healthy servers this copy's calls are spread over.
func (b *Balancer) subset(now Microseconds) float64 {
	rate := b.tier.pass.sum(now, windowWhole) / float64(windowWhole/second)
	return max(subsetLeast, subsetRoot*math.Sqrt(rate))
}

// TimerFired takes a timer that was asked for.
func (b *Balancer) TimerFired(now Microseconds, h Host, token string) {
	if token == watchToken && !b.asked {
		b.asked = true
		h.Subscribe()
	} else if id, ok := strings.CutPrefix(token, heldToken); ok {
		if q := b.reqs[id]; q != nil && !q.over && len(q.attempts) == 0 {
			b.refuse(now, h, q)
		}
	} else if key, ok := strings.CutPrefix(token, turnToken); ok && b.turns[key] != nil {
		b.next(now, h, b.turns[key])
	}
}

// HandleRequest takes a request, and sends or refuses it at once: none is held unsent but those that must wait
// for their key's turn (rule 5), and these no longer than they can still make it.
func (b *Balancer) HandleRequest(now Microseconds, h Host, r Request) {
	if b.reqs[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.classes) {
		h.Fail(r.ID)
		return
	}
	b.watch(now)
	b.born = cmp.Or(b.born, now)
	b.taken.add(now, b.s.RetryBudgetWindow)
	b.came.add(now)
	q := &request{Request: r, came: now, kind: &b.s.Classes[r.Class], class: b.classes[r.Class]}
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) {
		q.origin = b.tenants[r.Tenant]
		q.origin.came.add(now)
	}
	b.reqs[r.ID] = q
	if r.Key == "" || !q.kind.OrderedByKey {
		b.start(now, h, q)
		return
	}
	b.join(q)
	if b.next(now, h, q.turn); len(q.attempts) > 0 || q.over {
		return
	}
	last := float64(b.deadline(q)-now) - leastMeans*q.class.mean
	if float64(len(q.turn.line)-1)*q.class.mean > last { // this also bounds the line
		b.refuse(now, h, q)
		return
	}
	h.SetTimer(max(Microseconds(last), 0), heldToken+q.ID)
}

// start checks the rules and sends a request's first attempt, or refuses it.
func (b *Balancer) start(now Microseconds, h Host, q *request) {
	if !b.canPass(now, q) || !b.inTime(now, q) || !b.send(now, h, q) {
		b.refuse(now, h, q)
	} else if q.origin != nil {
		q.origin.pass.add(now)
	}
}

// next starts the request whose turn it is, unless its key rests: an attempt may then still be running.
func (b *Balancer) next(now Microseconds, h Host, t *turn) {
	for len(t.line) > 0 && len(t.line[0].attempts) == 0 && now >= t.rest {
		b.start(now, h, t.line[0])
	}
	b.tidy(now, t)
}

// refuse gives a hint spread so that clients do not return together, nor so late that an answer then misses
// its aim.
func (b *Balancer) refuse(now Microseconds, h Host, q *request) {
	most := b.longestHint(q)
	h.Reject(q.ID, most/2+Microseconds(b.rnd.Int64N(int64(most/2+1))))
	b.finish(now, h, q)
}

func (b *Balancer) longestHint(q *request) Microseconds {
	return min(b.s.MaxRetryAfter, Microseconds(hintPart*float64(q.kind.LatencyObjective)))
}

// deadline is when an answer stops being worth anything.
func (b *Balancer) deadline(q *request) Microseconds {
	if b.s.Tier == 0 && q.kind.LateFraction == 0 {
		return min(q.Deadline, q.came+q.kind.LatencyObjective)
	}
	return q.Deadline
}

// inTime tells whether a request can still be answered while that is worth something.
func (b *Balancer) inTime(now Microseconds, q *request) bool {
	return float64(b.deadline(q)-now) > leastMeans*q.class.mean
}

// send draws a server and sends an attempt there; false if there is none to send to.
func (b *Balancer) send(now Microseconds, h Host, q *request) bool {
	s := b.draw(now, q)
	if s == nil {
		return false
	}
	lapse := b.lapse(q)
	a := &attempt{srv: s, set: b.s, kind: q.kind, begun: now, sent: now, zone: s.Zone, cell: s.Cell,
		mayRun: true, out: true}
	q.attempts = append(q.attempts, a)
	q.out++
	a.owed, s.owed = s.owed, false
	s.inflight++
	b.tier.pass.add(now)
	if !q.Streaming {
		b.enterCall(q, a)
	}
	h.Send(q.ID, s.ID, b.timeout(now, q), lapse)
	return true
}

// RequestUploaded takes the news that the last byte of a streamed request has gone out. Its time counts from now on,
// since what its client took to write it tells nothing of servers.
func (b *Balancer) RequestUploaded(now Microseconds, id string, giveUp Microseconds) {
	q := b.reqs[id]
	if q == nil || !q.Streaming || len(q.attempts) == 0 {
		return
	}
	q.Streaming, q.came, q.Deadline = false, now, giveUp
	if a := q.attempts[len(q.attempts)-1]; a.out {
		a.sent = now
		b.enterCall(q, a)
	}
}

// timeout gives an attempt up when its answer would be worth nothing, or before where another may follow.
func (b *Balancer) timeout(now Microseconds, q *request) Microseconds {
	left := b.deadline(q) - now
	if q.kind.Idempotency != NotIdempotent && len(q.attempts) < b.s.MaxAttempts {
		left = min(left, Microseconds(hangMeans*q.class.mean))
	}
	return max(left, 1)
}

// draw picks a ready server of this copy's subset at random by weight; those tried before come last. The
// subset grows where it has too few warm and healthy servers, or none that the request may go to.
func (b *Balancer) draw(now Microseconds, q *request) *server {
	b.weights = b.weights[:0]
	sum, held, room := 0.0, 0.0, b.subset(now)
	for _, s := range b.ready {
		if room <= 0 && sum > 0 {
			break
		}
		room -= s.healthFor(q.class) * b.warmth(now, s)
		w := 0.0
		if b.mayGo(now, q, s) {
			w = b.weigh(now, s, q.class)
		}
		if q.tried(s) {
			w *= triedPart
		}
		sum += w
		held += w * float64(s.inflight)
		b.weights = append(b.weights, w)
	}
	if sum == 0 {
		return nil
	}
	total, lack, cold := 0.0, 0.0, 0.0 // lack: by so much total would be more if all were warm
	for i, s := range b.ready[:len(b.weights)] {
		b.weights[i] /= math.Pow(1+s.busy(q.class, held/sum), heldPower)
		total += b.weights[i]
		if warmth := b.warmth(now, s); warmth < 1 {
			cold += b.weights[i]
			lack += b.weights[i]/warmth - b.weights[i]
		}
	}
	if x := b.rnd.Float64() * max(total, (total+lack)/max(1, coldMost*b.s.SlowStartOverload)); x < total {
		return b.pick(x)
	}
	for i, s := range b.ready[:len(b.weights)] { // more than cold servers bear: to the warm ones, or to none
		b.weights[i] *= partOf(b.warmth(now, s) == 1)
	}
	return b.pick(b.rnd.Float64() * (total - cold))
}

// busy is how many calls of this copy a server is taken to hold. One that fails at once holds none and would
// draw all calls whenever its peers are busy, so the less healthy it is, the more it counts as busy as usual.
func (s *server) busy(class *classState, usual float64) float64 {
	return max(float64(s.inflight), (1-s.healthFor(class))*usual)
}

// weigh is a server's weight in the draw before the calls of this copy that it already holds: its size, what
// was learned of it, its age and its zone.
func (b *Balancer) weigh(now Microseconds, s *server, class *classState) float64 {
	if s.owed && now >= s.back+Microseconds(b.s.ReplicaIndex)*b.s.SlowStartDuration/owedSteps { // one call of each copy is no burden
		return 1
	}
	w := max(healthFloor, s.healthFor(class)) / (s.slowness * s.slowness) * b.warmth(now, s)
	if b.s.CapacityHints && s.Capacity > 0 {
		w *= s.Capacity
	}
	if s.Zone != b.s.Zone { // calls stay at home while home copes
		w *= b.spill
	}
	return w
}

// warmth guards against pushing a cold server over (rule 4): its weight is under the least capacity that
// a server of its age has.
func (b *Balancer) warmth(now Microseconds, s *server) float64 {
	start := max(s.StartedAt, s.back)
	age := now - start
	if start == 0 || age >= b.s.SlowStartDuration {
		return 1
	}
	part := float64(max(age, 0)) / float64(b.s.SlowStartDuration)
	return coldMargin * (b.s.SlowStartCapacity + (1-b.s.SlowStartCapacity)*part)
}

// lapse is by when a repeat has to be on its way: later it might reach servers that have forgotten the first
// attempt that may have run. It is 0 while none may have run, and where repeats are not told by their key.
func (b *Balancer) lapse(q *request) Microseconds {
	i := slices.IndexFunc(q.attempts, (*attempt).hasRun) // they are in order
	if i < 0 || q.kind.Idempotency != IdempotentWithKey {
		return 0
	}
	return q.attempts[i].begun + q.kind.DedupWindow - onTheWay
}

// mayGo keeps rule 2 for a further attempt: once one may have run, an unsafe request goes nowhere, and a
// keyed one only to the group that drops its repeats, while that remembers it.
func (b *Balancer) mayGo(now Microseconds, q *request, s *server) bool {
	k := q.kind
	for _, a := range q.attempts {
		if !a.mayRun || k.Idempotency == Idempotent {
			continue
		}
		if k.Idempotency == NotIdempotent || now >= b.lapse(q) ||
			k.DedupScope == DedupZone && a.zone != s.Zone || k.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayRefuse keeps rule 2 for a refusal, which tells the client that trying again is harmless: once an
// attempt may have run, that holds where all servers drop repeats, and for a client that comes again while
// they do.
func (b *Balancer) mayRefuse(now Microseconds, q *request) bool {
	k := q.kind
	return k.Idempotency == Idempotent || !slices.ContainsFunc(q.attempts, (*attempt).hasRun) ||
		k.Idempotency == IdempotentWithKey && k.DedupScope == DedupTier && now+b.longestHint(q) < b.lapse(q)
}

// ResponseStarted takes the news that a streamed answer has begun: from now on that attempt is the client's.
func (b *Balancer) ResponseStarted(now Microseconds, id string) {
	if q := b.reqs[id]; q != nil {
		q.over = true
	}
}

// CancelRequest takes the news that nobody waits for a request any more.
func (b *Balancer) CancelRequest(now Microseconds, h Host, id string) {
	if q := b.reqs[id]; q != nil {
		b.finish(now, h, q)
	}
}

// HandleOutcome takes the end of an attempt; where the request is still owed an answer it gets a further
// attempt or its final answer at once.
func (b *Balancer) HandleOutcome(now Microseconds, h Host, o Outcome) {
	q := b.reqs[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].out {
		return
	}
	b.watch(now)
	a := q.attempts[o.Attempt]
	a.out = false
	a.mayRun = o.Status != ConnectFailed && o.Status != NotAttempted && (o.Status != Rejected || a.set.RejectedMayRun)
	a.srv.owed = a.srv.owed || a.owed && (o.Status == ConnectFailed || o.Status == NotAttempted) // it has got nothing
	q.out--
	a.srv.inflight--
	if a.counts {
		b.tier.threads--
		q.class.rule.threads--
	}
	b.learn(now, q, a, o)
	b.report(now, h)
	if q.turn != nil && slices.Contains([]Status{TimedOut, Reset, Cancelled}, o.Status) { // it may still run
		q.turn.rest = max(q.turn.rest, now+a.set.OrderedKeyCooldown)
		h.SetTimer(a.set.OrderedKeyCooldown, turnToken+q.Key)
	}
	if o.RequestDone || q.over {
		b.finish(now, h, q)
	} else if q.out > 0 || !o.BodyConsumed && b.again(now, h, q) {
		return
	} else if b.mayRefuse(now, q) {
		b.refuse(now, h, q)
	} else {
		h.Fail(q.ID)
		b.finish(now, h, q)
	}
}

// again makes a further attempt, where time, rules, rule 2 and the budget (rule 6) allow one. The budget is
// exact in the window that ends now: an attempt at its far edge counts, a request taken there does not.
func (b *Balancer) again(now Microseconds, h Host, q *request) bool {
	u, rule, from := b.rnd.Float64(), &q.class.rule, now-b.s.RetryBudgetWindow
	if len(q.attempts) >= b.s.MaxAttempts || !b.inTime(now, q) || !b.tier.canPass(u) || !rule.canPass(u) ||
		b.further.since(from)+1 > b.s.RetryBudgetMin+b.s.RetryBudgetRatio*b.taken.since(from+1) || !b.send(now, h, q) {
		return false
	}
	b.further.add(now, max(b.s.RetryBudgetWindow, budgetKept))
	return true
}

// judge updates a server's health and tells whether a failure is its own. One that its peers show as well
// is a deeper tier's and held against the counts; a refused connection never is, lest a lost zone be one.
// An error that was answered concerns its class only, silence the whole server. A full server is not ill:
// the counts answer to that, and the calls that it would have had are not to crowd its peers.
func (b *Balancer) judge(s *server, c *classState, status Status) (blame bool) {
	x := partOf(status != OK)
	b.errs += (x - b.errs) * meanGain
	c.errs += (x - c.errs) * meanGain
	if status == ConnectFailed {
		blame = s.whole.judge(x, 0)
	} else if status != Error && status != Rejected {
		blame = s.whole.judge(x, blameRatio*b.errs)
	}
	if status == Error || status == OK {
		blame = s.health(c).judge(x, blameRatio*c.errs)
	}
	return blame
}

// judge blames a failure where failures are more than a usual part.
func (h *health) judge(x, usual float64) (blame bool) {
	h.errs += (x - h.errs) * healthRise
	if x == 0 {
		h.left += (1 - h.left) * healthRise
	} else if blame = h.errs > usual; blame {
		h.left = max(healthFloor, h.left*healthCut)
	}
	return blame
}

// reward moves the weight of a server towards its speed: the mean time of all over its own.
// The time itself sets the aim of each step; summing up steps would end with all calls at one server
// wherever load does not slow it down.
func (b *Balancer) reward(c *classState, s *server, took float64) {
	ratio := min(took/max(c.mean, 1), slowMost)
	s.slowness += (ratio - s.slowness) * slowGain
	c.seen++
	c.mean += (took - c.mean) * gainAfter(c.seen, meanGain)
	c.base = min(c.mean, c.base+(c.mean-c.base)*gainAfter(c.seen, baseGain))
}
