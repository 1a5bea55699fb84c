package balancer

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// The data that decisions read. This file keeps books; it decides nothing.

const (
	windowTicks  = 64 // buckets of the sliding window
	windowBucket = second / 8
	reportEvery  = 10 * second // between log lines of one copy
	tallySpan    = 30 * second // memory of a tally
	windowWhole  = windowTicks * windowBucket
	budgetKept   = 60 * second // further attempts are remembered for so long, as Reconfigure may set a longer RetryBudgetWindow
	noSlot       = -1
)

// window counts events over a sliding time of up to windowTicks buckets.
type window struct {
	n    [windowTicks]int32
	last Microseconds
}

func (w *window) add(now Microseconds) {
	w.advance(now)
	w.n[w.last%windowTicks]++
}

func (w *window) advance(now Microseconds) {
	b := now / windowBucket
	for i := max(w.last+1, b-windowTicks+1); i <= b; i++ {
		w.n[i%windowTicks] = 0
	}
	w.last = max(w.last, b)
}

func (w *window) sum(now, span Microseconds) float64 {
	w.advance(now)
	total := int32(0)
	for i := Microseconds(0); i < span/windowBucket; i++ {
		if w.last-i >= 0 {
			total += w.n[(w.last-i)%windowTicks]
		}
	}
	return float64(total)
}

// tally counts events and forgets them over about tallySpan.
type tally struct {
	n    float64
	last Microseconds
}

func (t *tally) at(now Microseconds) float64 {
	t.n *= math.Exp(-float64(now-t.last) / float64(tallySpan))
	t.last = now
	return t.n
}

func (t *tally) add(now Microseconds) { t.n = t.at(now) + 1 }

// timeline holds the times of events, oldest first.
type timeline []Microseconds

// add takes an event and forgets those that are older than span.
func (l *timeline) add(now, span Microseconds) {
	*l = append(*l, now)
	before, _ := slices.BinarySearch(*l, now-span)
	*l = (*l)[before:]
}

// since counts the events from then on.
func (l timeline) since(from Microseconds) float64 {
	before, _ := slices.BinarySearch(l, from)
	return float64(len(l) - before)
}

// node holds the statistics that rules read: calls in flight and calls passed.
type node struct {
	inFlight int
	peak     int
	admitted window
}

// classState is a class's rule and what is known of its times.
type classState struct {
	slot            int // its place in server.classes; noSlot once the settings have it no more
	limit           concurrencyLimit
	yieldEvidence   evidenceRound // evidence of classes that are worth clearly more
	meanLatency     float64       // of successes
	unloadedLatency float64       // the mean when little waits
	successes       float64       // successes
	errorRate       float64       // running part of failed calls over all servers
	unmarked        []*attempt    // at the front: in order of sending, those not yet slow
}

type endpoint struct {
	Endpoint
	relativeLatency       float64 // running time of its calls against the mean of all
	overall               endpointHealth
	perClass              []endpointHealth // for the calls of each class, by classState.slot
	inFlight              int
	ringPosition          uint64
	attachedAt            Microseconds // when operators put it back to work; 0: never
	reintroductionPending bool         // since then it has got nothing
}

// endpointHealth is what is left of a server's weight, and its running part of failed calls.
type endpointHealth struct{ factor, errorRate float64 }

// reset drops what was learned of a server.
func (s *endpoint) reset(slots int) {
	s.relativeLatency, s.overall, s.perClass = 1, endpointHealth{factor: 1}, nil
	s.reserve(slots)
}

// reserve makes room for as many classes.
func (s *endpoint) reserve(slots int) {
	for len(s.perClass) < slots {
		s.perClass = append(s.perClass, endpointHealth{factor: 1})
	}
}

// classHealth is that for the calls of a class. Of one that is no longer in the settings nothing is kept.
func (s *endpoint) classHealth(c *classState) *endpointHealth {
	if c.slot == noSlot {
		return &endpointHealth{factor: 1}
	}
	s.reserve(c.slot + 1) // one that has left the list was passed over when the class came
	return &s.perClass[c.slot]
}

// partOf is one observation of a running part: 1 if it is so, else 0.
func partOf(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (s *endpoint) healthFor(c *classState) float64 {
	return s.overall.factor * s.classHealth(c).factor
}

type attempt struct {
	endpoint       *endpoint
	settings       *Settings    // in force when it was decided on
	class          *Class       // its request's
	decidedAt      Microseconds // when it was decided on
	sentAt         Microseconds // the same, or when the last byte of a streamed request had gone out
	zone           int          // as listed at the time of sending
	cell           int
	countedSlow    bool // counted as slow before its end
	mayRun         bool // outstanding, or ended without proof that it never ran
	outstanding    bool
	reintroduction bool // the first call to a server that was put back
	inFlight       bool // in the counts of calls in flight
}

// hasRun tells whether nothing proves that it never ran.
func (a *attempt) hasRun() bool { return a.mayRun }

// keyQueue is the line of one key's requests in the order of their arrival.
type keyQueue struct {
	key           string
	waiting       []*request   // the first is the one whose turn it is
	cooldownUntil Microseconds // until then the key rests
}

type request struct {
	Request
	class       *Class       // as it was when the request came
	state       *classState  // what is known of its class
	quota       *tenantQuota // its tenant's; nil without one: the tenant rule is skipped
	arrivedAt   Microseconds
	queue       *keyQueue // nil if it need not wait its turn
	attempts    []*attempt
	done        bool
	outstanding int // attempts without outcome
}

// join puts a request last in its key's line.
func (b *Balancer) join(req *request) {
	req.queue = b.keyQueues[req.Key]
	if req.queue == nil {
		req.queue = &keyQueue{key: req.Key}
		b.keyQueues[req.Key] = req.queue
	}
	req.queue.waiting = append(req.queue.waiting, req)
}

// tidy forgets a key that nobody waits for and that rests no more.
func (b *Balancer) tidy(now Microseconds, t *keyQueue) {
	if len(t.waiting) == 0 && now >= t.cooldownUntil {
		delete(b.keyQueues, t.key)
	}
}

// enter takes one entry of a list. What was learned of a server is dropped when its process restarts.
func (b *Balancer) enter(e Endpoint) {
	s := b.byID[e.ID]
	if s == nil {
		s = &endpoint{ringPosition: hash(e.ID), attachedAt: b.attachedUnlisted[e.ID], reintroductionPending: b.attachedUnlisted[e.ID] > 0}
		delete(b.attachedUnlisted, e.ID)
		b.byID[e.ID] = s
		b.all = append(b.all, s)
	}
	if s.ID == "" || s.StartedAt != e.StartedAt {
		s.reset(b.slots)
	}
	s.Endpoint = e
}

// tried tells whether an attempt of the request went to the server.
func (req *request) tried(s *endpoint) bool {
	for _, a := range req.attempts {
		if a.endpoint == s {
			return true
		}
	}
	return false
}

// hash orders servers alike at every copy, by nothing that their names may mean.
func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// loadSignal is what a round of evidence shows.
type loadSignal int

// The verdicts.
const (
	signalPending    loadSignal = iota // too little evidence yet
	signalHealthy                      // most calls end well and in time
	signalFaulty                       // many are late or fail, beside answers that are as fast as under little load
	signalOverloaded                   // many are late or fail, and hardly any answer is fast: a queue delays them all
)

// responseSpeed is how fast a call was answered.
type responseSpeed int

// The paces.
const (
	noResponse   responseSpeed = iota // the call failed
	slowResponse                      // slower than the usual call under little load
	fastResponse
)

func speedOf(failed, fast bool) responseSpeed {
	switch {
	case failed:
		return noResponse
	case fast:
		return fastResponse
	}
	return slowResponse
}

// evidenceRound gathers finishes of calls sent since the last change, and judges them once they are enough, so
// that sparse copies learn by evidence and one trouble is answered by one cut.
type evidenceRound struct {
	start       Microseconds // when it began: calls sent earlier are left out
	n, bad      int
	answered    int // finishes with an answer, and calls that are still out
	fast        int // answers that took no longer than the usual one under little load
	allowedBad  float64
	minDuration Microseconds // after this long a few finishes make a round
}

// concurrencyLimit limits calls in flight.
type concurrencyLimit struct {
	node
	max      float64
	floor    float64
	evidence evidenceRound
}

// tenantQuota limits the calls passed per second for one tenant.
type tenantQuota struct {
	node
	fraction float64
	arrivals tally // its requests
}

// Balancer decides for one proxy.
type Balancer struct {
	settings                *Settings // those in force; never changed, but replaced by Reconfigure
	random                  *rand.Rand
	byID                    map[string]*endpoint
	all                     []*endpoint             // in order of first listing
	ready                   []*endpoint             // those that new calls may go to, this copy's subset first
	detached                map[string]bool         // those that operators have taken out, listed or not
	attachedUnlisted        map[string]Microseconds // those put back that were not listed then, and when
	requests                map[string]*request
	keyQueues               map[string]*keyQueue
	tierLimit               concurrencyLimit
	tenants                 []*tenantQuota // in the order of the settings
	classes                 []*classState  // in the order of the settings
	slots                   int            // classState.slot is less
	fairRate                float64        // rate of all tenants inside their shares at one copy
	quotaMultiplier         float64        // multiple of its share that a tenant may pass
	maxQuotaMultiplier      float64
	overloadQuotaMultiplier float64 // what a bad round leaves of share at most
	quotaEvidence           evidenceRound
	crossZoneWeight         float64 // weight of servers in other zones
	crossZoneEvidence       evidenceRound
	errorRate               float64      // running part of failed calls over all servers
	requestTimes            timeline     // requests
	arrivals                tally        // requests, over a longer time
	retryTimes              timeline     // attempts beyond each request's first
	firstRequestAt          Microseconds // when the first request came
	backoff                 Microseconds // before the next try at a subscription
	subscribeRequested      bool         // a subscription was asked for
	weights                 []float64
	lastReport              Microseconds // when the last log line was written
}

// acquire counts a call in.
func (n *node) acquire() {
	n.inFlight++
	n.peak = max(n.peak, n.inFlight)
}

// enterCall counts an attempt as a call in flight: its server has all of it and may begin.
func (b *Balancer) enterCall(req *request, a *attempt) {
	if b.settings.Tier == 0 {
		req.state.unmarked = append(req.state.unmarked, a)
	}
	b.tierLimit.acquire()
	req.state.limit.acquire()
	a.inFlight = true
}

// pick returns the ready server at which the sum of weights passes x, or nil if none has weight.
func (b *Balancer) pick(x float64) (last *endpoint) {
	for i, w := range b.weights {
		if w > 0 {
			last = b.ready[i]
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
}

// gainAfter is the gain of a running mean: that of a plain mean over what was seen, until that falls to least.
func gainAfter(seen, least float64) float64 { return max(least, 1/(firstWorth+seen)) }

// finish marks a request as over and forgets it once all its attempts have ended; only then is it the
// turn of the next one with its key.
func (b *Balancer) finish(now Microseconds, h Host, req *request) {
	req.done = true
	if req.outstanding > 0 {
		return
	}
	delete(b.requests, req.ID)
	if t := req.queue; t != nil {
		t.waiting = slices.DeleteFunc(t.waiting, func(x *request) bool { return x == req })
		b.next(now, h, t)
	}
}

// report tells on-call staff when traffic inside the shares is held back, and which way calls lean.
func (b *Balancer) report(now Microseconds, h Host) {
	if b.quotaMultiplier >= 1 || now-b.lastReport < reportEvery && b.lastReport != 0 {
		return
	}
	b.lastReport = now
	h.Log(fmt.Sprintf("tier %d: calls are slow or fail; tenants held to %.2f of their shares, %d calls out, "+
		"%.0f%% of calls fail, other zones weigh %.2f", b.settings.Tier, b.quotaMultiplier, b.tierLimit.inFlight, 100*b.errorRate, b.crossZoneWeight))
}
