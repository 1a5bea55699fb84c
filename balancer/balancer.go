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
	slowGain        = 0.1  // how far one finish moves a server's slowness
	firstWorth      = 4.0  // finishes that a fresh copy's first guess at a mean is worth
	slowMost        = 5.0  // times the mean: a single finish says no more than this
	heldPower       = 8.0  // how sharply a weight falls with the calls of this copy that its server holds
	triedPart       = 1e-6 // weight left to a server that the request has tried, for when there is no other
	minHealth       = 0.05 // health left to a failing server, for trials
	healthCut       = 0.3  // health kept after a failure that peers do not show
	healthRise      = 0.25 // part of the lost health that a success restores
	blameRatio      = 2.0  // a server is to blame when it fails this many times as often as all
	slowStartMargin = 0.6  // part of its least capacity that a cold server is given
	coldMost        = 0.75 // and this times SlowStartOverload as much where too few others can take the rest
	owedSteps       = 200  // copies give a server put back its first calls in turn, this part of Cold apart

	hintPart = 0.5 // of the aim: the longest hint

	onTheWay = second / 50 // a repeat counts when its last byte has come: writing it and the way take less

	subsetLeast = 4.0      // servers that a copy spreads its calls over, at least
	subsetRoot  = 3.0      // and times the root of its calls a second, so that it meets each one often enough
	golden      = 0.618034 // steps of this part of a ring spread any number of starts evenly

	meanGain                 = 0.05        // of the running means of time and of errors
	baseGain                 = 0.001       // of the time under little load, upwards; it follows at once downwards
	firstMean                = 0.25        // of the aim: a fresh copy's guess at the mean time
	hangMeans                = 12.0        // an attempt is given up after this many mean times
	leastMeans               = 0.5         // a request with less time left than this many mean times cannot make it
	defaultRetryBudgetWindow = 10 * second // without a stated budget, this one holds
	defaultRetryBudgetMin    = 5.0         // further attempts in it, whatever was taken
	defaultRetryBudgetRatio  = 0.1         // and for each request taken
	watchFirst               = second / 4
	watchMost                = second // backoff of a failed subscription doubles up to this, lest changes are told late
	subscribeToken           = "watch"
	expireToken              = "held " // and a request
	resumeKeyToken           = "turn " // and a key
)

// New returns a Balancer for the settings; all its random draws come from the seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: &Settings{}, random: rand.New(rand.NewPCG(seed, seed)), byID: map[string]*endpoint{},
		detached: map[string]bool{}, attachedUnlisted: map[string]Microseconds{}, tierLimit: concurrencyLimit{max: initialLimit},
		requests: map[string]*request{}, keyQueues: map[string]*keyQueue{}, backoff: watchFirst}
	b.quotaMultiplier, b.crossZoneWeight, b.overloadQuotaMultiplier = initialQuotaMultiplier, spillStart, overloadQuotaMultiplierFront
	if s.Tier > 0 {
		b.quotaMultiplier, b.crossZoneWeight, b.overloadQuotaMultiplier = shareDeep, spillLow, shareDeep
	}
	b.maxQuotaMultiplier = b.quotaMultiplier
	b.configure(s)
	return b, nil
}

// UpdateEndpoints takes a list of servers or its changes.
func (b *Balancer) UpdateEndpoints(now Microseconds, h Host, kind UpdateKind, entries []Endpoint) {
	if kind == FailedUpdate {
		if b.subscribeRequested { // many copies keep the list busy: back off, one ask at a time
			h.SetTimer(b.backoff+Microseconds(b.random.Int64N(int64(b.backoff))), subscribeToken)
			b.backoff = min(2*b.backoff, watchMost)
		}
		b.subscribeRequested = false
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
	if b.settings.SubscribeRequired && !b.subscribeRequested {
		b.subscribeRequested = true
		h.Subscribe()
	}
	b.backoff = watchFirst
}

// relist forgets gone servers and gathers the ready ones. Rule 3 holds with no grace used: a server is
// out of the draw from the moment that the list says that it drains or is gone.
func (b *Balancer) relist() {
	b.all = slices.DeleteFunc(b.all, func(s *endpoint) bool {
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
	slices.SortStableFunc(b.ready, func(x, y *endpoint) int { // those owed a call come first
		return cmp.Compare(partOf(y.reintroductionPending), partOf(x.reintroductionPending))
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
		s.reset(b.slots)
		s.attachedAt, s.reintroductionPending = now, true
	} else if b.detached[id] {
		b.attachedUnlisted[id] = now
	}
	delete(b.detached, id)
	b.relist()
}

// rotate orders the ready servers so that this copy's subset comes first: they stand on a ring by their
// hashes, and copies start at places spread over it. Each server would otherwise hold a connection of every
// copy, which costs it capacity, and each copy would see too few calls to a server to judge it.
func (b *Balancer) rotate() {
	slices.SortFunc(b.ready, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.ringPosition, y.ringPosition), cmp.Compare(x.ID, y.ID))
	})
	_, start := math.Modf(float64(b.settings.ReplicaIndex) * golden)
	first := int(start * float64(len(b.ready)))
	b.ready = slices.Concat(b.ready[first:], b.ready[:first])
}

// subset is how many warm and healthy servers this copy's calls are spread over.
func (b *Balancer) subset(now Microseconds) float64 {
	rate := b.tierLimit.admitted.sum(now, windowWhole) / float64(windowWhole/second)
	return max(subsetLeast, subsetRoot*math.Sqrt(rate))
}

// TimerFired takes a timer that was asked for.
func (b *Balancer) TimerFired(now Microseconds, h Host, token string) {
	if token == subscribeToken && !b.subscribeRequested {
		b.subscribeRequested = true
		h.Subscribe()
	} else if id, ok := strings.CutPrefix(token, expireToken); ok {
		if req := b.requests[id]; req != nil && !req.done && len(req.attempts) == 0 {
			b.reject(now, h, req)
		}
	} else if key, ok := strings.CutPrefix(token, resumeKeyToken); ok && b.keyQueues[key] != nil {
		b.next(now, h, b.keyQueues[key])
	}
}

// HandleRequest takes a request, and sends or refuses it at once: none is held unsent but those that must wait
// for their key's turn (rule 5), and these no longer than they can still make it.
func (b *Balancer) HandleRequest(now Microseconds, h Host, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.classes) {
		h.Fail(r.ID)
		return
	}
	b.markSlowAttempts(now)
	b.firstRequestAt = cmp.Or(b.firstRequestAt, now)
	b.requestTimes.add(now, b.settings.RetryBudgetWindow)
	b.arrivals.add(now)
	req := &request{Request: r, arrivedAt: now, class: &b.settings.Classes[r.Class], state: b.classes[r.Class]}
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) {
		req.quota = b.tenants[r.Tenant]
		req.quota.arrivals.add(now)
	}
	b.requests[r.ID] = req
	if r.Key == "" || !req.class.OrderedByKey {
		b.start(now, h, req)
		return
	}
	b.join(req)
	if b.next(now, h, req.queue); len(req.attempts) > 0 || req.done {
		return
	}
	last := float64(b.deadline(req)-now) - leastMeans*req.state.meanLatency
	if float64(len(req.queue.waiting)-1)*req.state.meanLatency > last { // this also bounds the line
		b.reject(now, h, req)
		return
	}
	h.SetTimer(max(Microseconds(last), 0), expireToken+req.ID)
}

// start checks the rules and sends a request's first attempt, or refuses it.
func (b *Balancer) start(now Microseconds, h Host, req *request) {
	if !b.canPass(now, req) || !b.inTime(now, req) || !b.send(now, h, req) {
		b.reject(now, h, req)
	} else if req.quota != nil {
		req.quota.admitted.add(now)
	}
}

// next starts the request whose turn it is, unless its key rests: an attempt may then still be running.
func (b *Balancer) next(now Microseconds, h Host, t *keyQueue) {
	for len(t.waiting) > 0 && len(t.waiting[0].attempts) == 0 && now >= t.cooldownUntil {
		b.start(now, h, t.waiting[0])
	}
	b.tidy(now, t)
}

// reject gives a hint spread so that clients do not return together, nor so late that an answer then misses
// its aim.
func (b *Balancer) reject(now Microseconds, h Host, req *request) {
	most := b.longestHint(req)
	h.Reject(req.ID, most/2+Microseconds(b.random.Int64N(int64(most/2+1))))
	b.finish(now, h, req)
}

func (b *Balancer) longestHint(req *request) Microseconds {
	return min(b.settings.MaxRetryAfter, Microseconds(hintPart*float64(req.class.LatencyObjective)))
}

// deadline is when an answer stops being worth anything.
func (b *Balancer) deadline(req *request) Microseconds {
	if b.settings.Tier == 0 && req.class.LateFraction == 0 {
		return min(req.Deadline, req.arrivedAt+req.class.LatencyObjective)
	}
	return req.Deadline
}

// inTime tells whether a request can still be answered while that is worth something.
func (b *Balancer) inTime(now Microseconds, req *request) bool {
	return float64(b.deadline(req)-now) > leastMeans*req.state.meanLatency
}

// send draws a server and sends an attempt there; false if there is none to send to.
func (b *Balancer) send(now Microseconds, h Host, req *request) bool {
	s := b.draw(now, req)
	if s == nil {
		return false
	}
	lapse := b.dedupDeadline(req)
	a := &attempt{endpoint: s, settings: b.settings, class: req.class, decidedAt: now, sentAt: now, zone: s.Zone, cell: s.Cell,
		mayRun: true, outstanding: true}
	req.attempts = append(req.attempts, a)
	req.outstanding++
	a.reintroduction, s.reintroductionPending = s.reintroductionPending, false
	s.inFlight++
	b.tierLimit.admitted.add(now)
	if !req.Streaming {
		b.enterCall(req, a)
	}
	h.Send(req.ID, s.ID, b.timeout(now, req), lapse)
	return true
}

// RequestUploaded takes the news that the last byte of a streamed request has gone out. Its time counts from now on,
// since what its client took to write it tells nothing of servers.
func (b *Balancer) RequestUploaded(now Microseconds, id string, giveUp Microseconds) {
	req := b.requests[id]
	if req == nil || !req.Streaming || len(req.attempts) == 0 {
		return
	}
	req.Streaming, req.arrivedAt, req.Deadline = false, now, giveUp
	if a := req.attempts[len(req.attempts)-1]; a.outstanding {
		a.sentAt = now
		b.enterCall(req, a)
	}
}

// timeout gives an attempt up when its answer would be worth nothing, or before where another may follow.
func (b *Balancer) timeout(now Microseconds, req *request) Microseconds {
	left := b.deadline(req) - now
	if req.class.Idempotency != NotIdempotent && len(req.attempts) < b.settings.MaxAttempts {
		left = min(left, Microseconds(hangMeans*req.state.meanLatency))
	}
	return max(left, 1)
}

// draw picks a ready server of this copy's subset at random by weight; those tried before come last. The
// subset grows where it has too few warm and healthy servers, or none that the request may go to.
func (b *Balancer) draw(now Microseconds, req *request) *endpoint {
	b.weights = b.weights[:0]
	sum, held, room := 0.0, 0.0, b.subset(now)
	for _, s := range b.ready {
		if room <= 0 && sum > 0 {
			break
		}
		room -= s.healthFor(req.state) * b.slowStartFactor(now, s)
		w := 0.0
		if b.mayFollow(now, req, s) {
			w = b.weight(now, s, req.state)
		}
		if req.tried(s) {
			w *= triedPart
		}
		sum += w
		held += w * float64(s.inFlight)
		b.weights = append(b.weights, w)
	}
	if sum == 0 {
		return nil
	}
	total, lack, cold := 0.0, 0.0, 0.0 // lack: by so much total would be more if all were warm
	for i, s := range b.ready[:len(b.weights)] {
		b.weights[i] /= math.Pow(1+s.busy(req.state, held/sum), heldPower)
		total += b.weights[i]
		if warmth := b.slowStartFactor(now, s); warmth < 1 {
			cold += b.weights[i]
			lack += b.weights[i]/warmth - b.weights[i]
		}
	}
	if x := b.random.Float64() * max(total, (total+lack)/max(1, coldMost*b.settings.SlowStartOverload)); x < total {
		return b.pick(x)
	}
	for i, s := range b.ready[:len(b.weights)] { // more than cold servers bear: to the warm ones, or to none
		b.weights[i] *= partOf(b.slowStartFactor(now, s) == 1)
	}
	return b.pick(b.random.Float64() * (total - cold))
}

// busy is how many calls of this copy a server is taken to hold. One that fails at once holds none and would
// draw all calls whenever its peers are busy, so the less healthy it is, the more it counts as busy as usual.
func (s *endpoint) busy(class *classState, usual float64) float64 {
	return max(float64(s.inFlight), (1-s.healthFor(class))*usual)
}

// weight is a server's weight in the draw before the calls of this copy that it already holds: its size, what
// was learned of it, its age and its zone.
func (b *Balancer) weight(now Microseconds, s *endpoint, class *classState) float64 {
	if s.reintroductionPending && now >= s.attachedAt+Microseconds(b.settings.ReplicaIndex)*b.settings.SlowStartDuration/owedSteps { // one call of each copy is no burden
		return 1
	}
	w := max(minHealth, s.healthFor(class)) / (s.relativeLatency * s.relativeLatency) * b.slowStartFactor(now, s)
	if b.settings.CapacityHints && s.Capacity > 0 {
		w *= s.Capacity
	}
	if s.Zone != b.settings.Zone { // calls stay at home while home copes
		w *= b.crossZoneWeight
	}
	return w
}

// slowStartFactor guards against pushing a cold server over (rule 4): its weight is under the least capacity that
// a server of its age has.
func (b *Balancer) slowStartFactor(now Microseconds, s *endpoint) float64 {
	start := max(s.StartedAt, s.attachedAt)
	age := now - start
	if start == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	part := float64(max(age, 0)) / float64(b.settings.SlowStartDuration)
	return slowStartMargin * (b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*part)
}

// dedupDeadline is by when a repeat has to be on its way: later it might reach servers that have forgotten the first
// attempt that may have run. It is 0 while none may have run, and where repeats are not told by their key.
func (b *Balancer) dedupDeadline(req *request) Microseconds {
	i := slices.IndexFunc(req.attempts, (*attempt).hasRun) // they are in order
	if i < 0 || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.attempts[i].decidedAt + req.class.DedupWindow - onTheWay
}

// mayFollow keeps rule 2 for a further attempt: once one may have run, an unsafe request goes nowhere, and a
// keyed one only to the group that drops its repeats, while that remembers it.
func (b *Balancer) mayFollow(now Microseconds, req *request, s *endpoint) bool {
	k := req.class
	for _, a := range req.attempts {
		if !a.mayRun || k.Idempotency == Idempotent {
			continue
		}
		if k.Idempotency == NotIdempotent || now >= b.dedupDeadline(req) ||
			k.DedupScope == DedupZone && a.zone != s.Zone || k.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayReject keeps rule 2 for a refusal, which tells the client that trying again is harmless: once an
// attempt may have run, that holds where all servers drop repeats, and for a client that comes again while
// they do.
func (b *Balancer) mayReject(now Microseconds, req *request) bool {
	k := req.class
	return k.Idempotency == Idempotent || !slices.ContainsFunc(req.attempts, (*attempt).hasRun) ||
		k.Idempotency == IdempotentWithKey && k.DedupScope == DedupTier && now+b.longestHint(req) < b.dedupDeadline(req)
}

// ResponseStarted takes the news that a streamed answer has begun: from now on that attempt is the client's.
func (b *Balancer) ResponseStarted(now Microseconds, id string) {
	if req := b.requests[id]; req != nil {
		req.done = true
	}
}

// CancelRequest takes the news that nobody waits for a request any more.
func (b *Balancer) CancelRequest(now Microseconds, h Host, id string) {
	if req := b.requests[id]; req != nil {
		b.finish(now, h, req)
	}
}

// HandleOutcome takes the end of an attempt; where the request is still owed an answer it gets a further
// attempt or its final answer at once.
func (b *Balancer) HandleOutcome(now Microseconds, h Host, o Outcome) {
	req := b.requests[o.ID]
	if req == nil || o.Attempt < 0 || o.Attempt >= len(req.attempts) || !req.attempts[o.Attempt].outstanding {
		return
	}
	b.markSlowAttempts(now)
	a := req.attempts[o.Attempt]
	a.outstanding = false
	a.mayRun = o.Status != ConnectFailed && o.Status != NotAttempted && (o.Status != Rejected || a.settings.RejectedMayRun)
	a.endpoint.reintroductionPending = a.endpoint.reintroductionPending || a.reintroduction && (o.Status == ConnectFailed || o.Status == NotAttempted) // it has got nothing
	req.outstanding--
	a.endpoint.inFlight--
	if a.inFlight {
		b.tierLimit.inFlight--
		req.state.limit.inFlight--
	}
	b.learn(now, req, a, o)
	b.report(now, h)
	if req.queue != nil && slices.Contains([]Status{TimedOut, Reset, Cancelled}, o.Status) { // it may still run
		req.queue.cooldownUntil = max(req.queue.cooldownUntil, now+a.settings.OrderedKeyCooldown)
		h.SetTimer(a.settings.OrderedKeyCooldown, resumeKeyToken+req.Key)
	}
	if o.RequestDone || req.done {
		b.finish(now, h, req)
	} else if req.outstanding > 0 || !o.BodyConsumed && b.retry(now, h, req) {
		return
	} else if b.mayReject(now, req) {
		b.reject(now, h, req)
	} else {
		h.Fail(req.ID)
		b.finish(now, h, req)
	}
}

// retry makes a further attempt, where time, rules, rule 2 and the budget (rule 6) allow one. The budget is
// exact in the window that ends now: an attempt at its far edge counts, a request taken there does not.
func (b *Balancer) retry(now Microseconds, h Host, req *request) bool {
	u, rule, from := b.random.Float64(), &req.state.limit, now-b.settings.RetryBudgetWindow
	if len(req.attempts) >= b.settings.MaxAttempts || !b.inTime(now, req) || !b.tierLimit.admits(u) || !rule.admits(u) ||
		b.retryTimes.since(from)+1 > b.settings.RetryBudgetMin+b.settings.RetryBudgetRatio*b.requestTimes.since(from+1) || !b.send(now, h, req) {
		return false
	}
	b.retryTimes.add(now, max(b.settings.RetryBudgetWindow, budgetKept))
	return true
}

// recordStatus updates a server's health and tells whether a failure is its own. One that its peers show as well
// is a deeper tier's and held against the counts; a refused connection never is, lest a lost zone be one.
// An error that was answered concerns its class only, silence the whole server. A full server is not ill:
// the counts answer to that, and the calls that it would have had are not to crowd its peers.
func (b *Balancer) recordStatus(s *endpoint, c *classState, status Status) (blame bool) {
	x := partOf(status != OK)
	b.errorRate += (x - b.errorRate) * meanGain
	c.errorRate += (x - c.errorRate) * meanGain
	if status == ConnectFailed {
		blame = s.overall.record(x, 0)
	} else if status != Error && status != Rejected {
		blame = s.overall.record(x, blameRatio*b.errorRate)
	}
	if status == Error || status == OK {
		blame = s.classHealth(c).record(x, blameRatio*c.errorRate)
	}
	return blame
}

// record blames a failure where failures are more than a usual part.
func (h *endpointHealth) record(x, usual float64) (blame bool) {
	h.errorRate += (x - h.errorRate) * healthRise
	if x == 0 {
		h.factor += (1 - h.factor) * healthRise
	} else if blame = h.errorRate > usual; blame {
		h.factor = max(minHealth, h.factor*healthCut)
	}
	return blame
}

// recordLatency moves the weight of a server towards its speed: the mean time of all over its own.
// The time itself sets the aim of each step; summing up steps would end with all calls at one server
// wherever load does not slow it down.
func (b *Balancer) recordLatency(c *classState, s *endpoint, took float64) {
	ratio := min(took/max(c.meanLatency, 1), slowMost)
	s.relativeLatency += (ratio - s.relativeLatency) * slowGain
	c.successes++
	c.meanLatency += (took - c.meanLatency) * gainAfter(c.successes, meanGain)
	c.unloadedLatency = min(c.meanLatency, c.unloadedLatency+(c.meanLatency-c.unloadedLatency)*gainAfter(c.successes, baseGain))
}
