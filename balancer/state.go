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
	threads int
	peak    int
	pass    window
}

// classState is a class's rule and what is known of its times.
type classState struct {
	slot    int // its place in server.classes; noSlot once the settings have it no more
	rule    threadRule
	yield   round      // evidence of classes that are worth clearly more
	mean    float64    // of successes
	base    float64    // the mean when little waits
	seen    float64    // successes
	errs    float64    // running part of failed calls over all servers
	waiting []*attempt // at the front: in order of sending, those not yet slow
}

type server struct {
	Endpoint
	slowness float64 // running time of its calls against the mean of all
	whole    health
	classes  []health // for the calls of each class, by classState.slot
	inflight int
	hash     uint64
	back     Microseconds // when operators put it back to work; 0: never
	owed     bool         // since then it has got nothing
}

// health is what is left of a server's weight, and its running part of failed calls.
type health struct{ left, errs float64 }

// forget drops what was learned of a server.
func (s *server) forget(slots int) {
	s.slowness, s.whole, s.classes = 1, health{left: 1}, nil
	s.reserve(slots)
}

// reserve makes room for as many classes.
func (s *server) reserve(slots int) {
	for len(s.classes) < slots {
		s.classes = append(s.classes, health{left: 1})
	}
}

// health is that for the calls of a class. Of one that is no longer in the settings nothing is kept.
func (s *server) health(c *classState) *health {
	if c.slot == noSlot {
		return &health{left: 1}
	}
	s.reserve(c.slot + 1) // one that has left the list was passed over when the class came
	return &s.classes[c.slot]
}

// partOf is one observation of a running part: 1 if it is so, else 0.
func partOf(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (s *server) healthFor(c *classState) float64 { return s.whole.left * s.health(c).left }

type attempt struct {
	srv    *server
	set    *Settings    // in force when it was decided on
	kind   *Class       // its request's
	begun  Microseconds // when it was decided on
	sent   Microseconds // the same, or when the last byte of a streamed request had gone out
	zone   int          // as listed at the time of sending
	cell   int
	slow   bool // counted as slow before its end
	mayRun bool // outstanding, or ended without proof that it never ran
	out    bool
	owed   bool // the first call to a server that was put back
	counts bool // in the counts of calls in flight
}

// hasRun tells whether nothing proves that it never ran.
func (a *attempt) hasRun() bool { return a.mayRun }

// turn is the line of one key's requests in the order of their arrival.
type turn struct {
	key  string
	line []*request   // the first is the one whose turn it is
	rest Microseconds // until then the key rests
}

type request struct {
	Request
	kind     *Class      // as it was when the request came
	class    *classState // what is known of its class
	origin   *originRule // its tenant's; nil without one: the tenant rule is skipped
	came     Microseconds
	turn     *turn // nil if it need not wait its turn
	attempts []*attempt
	over     bool
	out      int // attempts without outcome
}

// join puts a request last in its key's line.
func (b *Balancer) join(q *request) {
	q.turn = b.turns[q.Key]
	if q.turn == nil {
		q.turn = &turn{key: q.Key}
		b.turns[q.Key] = q.turn
	}
	q.turn.line = append(q.turn.line, q)
}

// tidy forgets a key that nobody waits for and that rests no more.
func (b *Balancer) tidy(now Microseconds, t *turn) {
	if len(t.line) == 0 && now >= t.rest {
		delete(b.turns, t.key)
	}
}

// enter takes one entry of a list. What was learned of a server is dropped when its process restarts.
func (b *Balancer) enter(e Endpoint) {
	s := b.byID[e.ID]
	if s == nil {
		s = &server{hash: hash(e.ID), back: b.awaited[e.ID], owed: b.awaited[e.ID] > 0}
		delete(b.awaited, e.ID)
		b.byID[e.ID] = s
		b.all = append(b.all, s)
	}
	if s.ID == "" || s.StartedAt != e.StartedAt {
		s.forget(b.slots)
	}
	s.Endpoint = e
}

// tried tells whether an attempt of the request went to the server.
func (q *request) tried(s *server) bool {
	for _, a := range q.attempts {
		if a.srv == s {
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

// verdict is what a round of evidence shows.
type verdict int

// The verdicts.
const (
	undecided  verdict = iota // too little evidence yet
	healthy                   // most calls end well and in time
	faulty                    // many are late or fail, beside answers that are as fast as under little load
	overloaded                // many are late or fail, and hardly any answer is fast: a queue delays them all
)

// pace is how fast a call was answered.
type pace int

// The paces.
const (
	unanswered pace = iota // the call failed
	slowPace               // slower than the usual call under little load
	fastPace
)

func paceOf(failed, fast bool) pace {
	switch {
	case failed:
		return unanswered
	case fast:
		return fastPace
	}
	return slowPace
}

// round gathers finishes of calls sent since the last change, and judges them once they are enough, so
// that sparse copies learn by evidence and one trouble is answered by one cut.
type round struct {
	start    Microseconds // when it began: calls sent earlier are left out
	n, bad   int
	answered int // finishes with an answer, and calls that are still out
	fast     int // answers that took no longer than the usual one under little load
	allowed  float64
	span     Microseconds // after this long a few finishes make a round
}

// threadRule limits calls in flight.
type threadRule struct {
	node
	count float64
	least float64
	ev    round
}

// originRule limits the calls passed per second for one tenant.
type originRule struct {
	node
	portion float64
	came    tally // its requests
}

// Balancer decides for one proxy.
type Balancer struct {
	s         *Settings // those in force; never changed, but replaced by Reconfigure
	rnd       *rand.Rand
	byID      map[string]*server
	all       []*server               // in order of first listing
	ready     []*server               // those that new calls may go to, this copy's subset first
	detached  map[string]bool         // those that operators have taken out, listed or not
	awaited   map[string]Microseconds // those put back that were not listed then, and when
	reqs      map[string]*request
	turns     map[string]*turn
	tier      threadRule
	tenants   []*originRule // in the order of the settings
	classes   []*classState // in the order of the settings
	slots     int           // classState.slot is less
	fair      float64       // rate of all tenants inside their shares at one copy
	share     float64       // multiple of its share that a tenant may pass
	shareMost float64
	shareBad  float64 // what a bad round leaves of share at most
	shareEv   round
	spill     float64 // weight of servers in other zones
	spillEv   round
	errs      float64      // running part of failed calls over all servers
	taken     timeline     // requests
	came      tally        // requests, over a longer time
	further   timeline     // attempts beyond each request's first
	born      Microseconds // when the first request came
	backoff   Microseconds // before the next try at a subscription
	asked     bool         // a subscription was asked for
	weights   []float64
	reported  Microseconds // when the last log line was written
}

// enter counts a call in.
func (n *node) enter() {
	n.threads++
	n.peak = max(n.peak, n.threads)
}

// enterCall counts an attempt as a call in flight: its server has all of it and may begin.
func (b *Balancer) enterCall(q *request, a *attempt) {
	if b.s.Tier == 0 {
		q.class.waiting = append(q.class.waiting, a)
	}
	b.tier.enter()
	q.class.rule.enter()
	a.counts = true
}

// pick returns the ready server at which the sum of weights passes x, or nil if none has weight.
func (b *Balancer) pick(x float64) (last *server) {
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
func (b *Balancer) finish(now Microseconds, h Host, q *request) {
	q.over = true
	if q.out > 0 {
		return
	}
	delete(b.reqs, q.ID)
	if t := q.turn; t != nil {
		t.line = slices.DeleteFunc(t.line, func(x *request) bool { return x == q })
		b.next(now, h, t)
	}
}

// report tells on-call staff when traffic inside the shares is held back, and which way calls lean.
func (b *Balancer) report(now Microseconds, h Host) {
	if b.share >= 1 || now-b.reported < reportEvery && b.reported != 0 {
		return
	}
	b.reported = now
	h.Log(fmt.Sprintf("tier %d: calls are slow or fail; tenants held to %.2f of their shares, %d calls out, "+
		"%.0f%% of calls fail, other zones weigh %.2f", b.s.Tier, b.share, b.tier.threads, 100*b.errs, b.spill))
}
