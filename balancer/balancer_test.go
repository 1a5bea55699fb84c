package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// recorder is a Host that keeps what it was told.
type recorder struct {
	lines  []string
	sends  []sent
	watch  int
	timer  []string
	delays []Microseconds // of the timers
	hints  []Microseconds
}

type sent struct {
	id, server string
	timeout    Microseconds
}

func (r *recorder) note(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, a...))
}

func (r *recorder) Send(id, server string, timeout, _ Microseconds) {
	r.note("send %s %s %d", id, server, timeout)
	r.sends = append(r.sends, sent{id, server, timeout})
}
func (r *recorder) Reject(id string, after Microseconds) {
	r.note("refuse %s", id)
	r.hints = append(r.hints, after)
}
func (r *recorder) Fail(id string) { r.note("fail %s", id) }
func (r *recorder) SetTimer(delay Microseconds, token string) {
	r.note("timer %d %s", delay, token)
	r.timer = append(r.timer, token)
	r.delays = append(r.delays, delay)
}
func (r *recorder) Log(line string) { r.note("log") }
func (r *recorder) Subscribe()      { r.note("watch"); r.watch++ }

// last is the latest action without its numbers.
func (r *recorder) last() string {
	if len(r.lines) == 0 {
		return ""
	}
	return r.lines[len(r.lines)-1]
}

const start = Microseconds(1_000_000_000)

// testSettings has a class of every repeat kind: 0 safe, 1 keyed by cell, 2 unsafe, 3 keyed by all, 4 keyed by zone.
func testSettings() Settings {
	class := Class{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.3}
	s := Settings{Replicas: 1, Zones: 2, MaxAttempts: 4, DrainGrace: 500_000,
		SlowStartCapacity: 0.2, SlowStartDuration: 20_000_000}
	for _, c := range []Class{
		{Idempotency: Idempotent}, {Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: 300_000}, {Idempotency: NotIdempotent, DedupWindow: 300_000},
		{Idempotency: IdempotentWithKey, DedupScope: DedupTier, DedupWindow: 300_000}, {Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 300_000},
	} {
		k := class
		k.Idempotency, k.DedupScope, k.DedupWindow = c.Idempotency, c.DedupScope, c.DedupWindow
		s.Classes = append(s.Classes, k)
	}
	return s
}

func mustNew(t *testing.T, s Settings) *Balancer {
	t.Helper()
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fleet lists n ready servers: cells of two, zones alternating by cell.
func fleet(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i / 2 % 2, Cell: i / 2, State: Ready, Capacity: 1})
	}
	return out
}

// with returns a balancer that knows n servers, and its host.
func with(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	b, h := mustNew(t, s), &recorder{}
	b.UpdateEndpoints(start, h, FullUpdate, fleet(n))
	return b, h
}

func ask(b *Balancer, h Host, now Microseconds, id string, class int) {
	b.HandleRequest(now, h, Request{ID: id, Class: class, Deadline: now + 1_000_000})
}

func TestRuleOneDeadlineTimeOutIsAnsweredAtOnce(t *testing.T) {
	for class := range testSettings().Classes {
		b, h := with(t, testSettings(), 4)
		ask(b, h, start, "r", class)
		now, attempt := start, 0
		for len(h.sends) == attempt+1 { // answer every attempt with a time-out until the request is over
			now += h.sends[attempt].timeout
			b.HandleOutcome(now, h, Outcome{ID: "r", Attempt: attempt, Status: TimedOut, Latency: h.sends[attempt].timeout})
			attempt++
		}
		if l := h.last(); l != "fail r" && l != "refuse r" {
			t.Errorf("class %d: no final answer, last action %q", class, l)
		}
		if now > start+1_000_000 {
			t.Errorf("class %d: answered %d us past the client's time", class, now-start-1_000_000)
		}
	}
}

func TestRuleOneNothingAfterTheEnd(t *testing.T) {
	for _, end := range []func(b *Balancer, h Host){
		func(b *Balancer, h Host) { b.CancelRequest(start+1000, h, "r") },
		func(b *Balancer, h Host) { b.ResponseStarted(start+1000, "r") },
		func(b *Balancer, h Host) {
			b.HandleOutcome(start+1000, h, Outcome{ID: "r", Status: Rejected, RequestDone: true})
		},
	} {
		b, h := with(t, testSettings(), 4)
		ask(b, h, start, "r", 0)
		before := len(h.lines)
		end(b, h)
		b.HandleOutcome(start+2000, h, Outcome{ID: "r", Status: Rejected})
		if len(h.lines) != before {
			t.Errorf("an ended request brought %q", h.lines[before:])
		}
		if len(b.requests) != 0 {
			t.Error("an ended request is kept")
		}
	}
}

// A refusal asks the client to come again, at the latest when the hint ends: by then a repeat has to be dropped still.
func TestARefusalHoldsOnlyWhileRepeatsAreDropped(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		after  Microseconds
		hint   Microseconds // longest
		want   string
	}{
		{0, Error, 900_000, 2_000_000, "refuse r"},
		{3, Error, 1000, 0, "refuse r"},
		{3, Error, 1000, 200_000, "refuse r"},
		{3, Error, 1000, 2_000_000, "refuse r"}, // half of the aim counts
		{3, Error, 100_000, 200_000, "fail r"},
		{3, Error, 100_000, 100_000, "refuse r"},
		{3, Reset, 285_000, 0, "fail r"},
		{3, Rejected, 900_000, 2_000_000, "refuse r"},
		{1, Error, 1000, 0, "fail r"},
		{2, Rejected, 1000, 0, "refuse r"},
	} {
		s := testSettings()
		s.MaxAttempts, s.MaxRetryAfter = 1, c.hint
		b, h := with(t, s, 8)
		ask(b, h, start, "r", c.class)
		b.HandleOutcome(start+c.after, h, Outcome{ID: "r", Status: c.status, Latency: c.after})
		if h.last() != c.want {
			t.Errorf("class %d, status %d after %d, hint %d: got %q", c.class, c.status, c.after, c.hint, h.last())
		}
	}
}

func TestRuleTwoAfterAnOutcome(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		after  Microseconds
		want   string // of: send anywhere, send to the same cell or zone, fail, refuse
	}{
		{0, Error, 1000, "send"},
		{0, Reset, 1000, "send"},
		{0, Rejected, 1000, "send"},
		{1, Rejected, 1000, "send"},
		{1, Error, 1000, "cell"},
		{1, Error, 300_000, "fail"}, // the group has forgotten it
		{2, Rejected, 1000, "send"},
		{2, ConnectFailed, 1000, "send"},
		{2, Error, 1000, "fail"},
		{2, TimedOut, 1000, "fail"},
		{2, Reset, 1000, "fail"},
		{3, Error, 1000, "send"},
		{3, Error, 300_000, "fail"}, // its client would come again when it is forgotten
		{4, Error, 1000, "zone"},
		{4, Error, 300_000, "fail"},
	} {
		b, h := with(t, testSettings(), 8)
		where := map[string]Endpoint{}
		for _, s := range fleet(8) {
			where[s.ID] = s
		}
		ask(b, h, start, "r", c.class)
		b.HandleOutcome(start+c.after, h, Outcome{ID: "r", Status: c.status, Latency: c.after})
		name := fmt.Sprintf("class %d after status %d at %d", c.class, c.status, c.after)
		switch c.want {
		case "fail", "refuse":
			if h.last() != c.want+" r" {
				t.Errorf("%s: got %q, want %s", name, h.last(), c.want)
			}
			continue
		}
		if len(h.sends) != 2 {
			t.Errorf("%s: no further attempt but %q", name, h.last())
			continue
		}
		one, two := where[h.sends[0].server], where[h.sends[1].server]
		if c.want == "cell" && one.Cell != two.Cell || c.want == "zone" && one.Zone != two.Zone {
			t.Errorf("%s: sent from %v to %v", name, one, two)
		}
	}
}

// Some fleets turn away work that they had begun: there, 'full' must bring neither a repeat nor a refusal.
func TestFullIsNoProofWhereSettingsSaySo(t *testing.T) {
	s := testSettings()
	s.RejectedMayRun = true
	b, h := with(t, s, 8)
	ask(b, h, start, "unsafe", 2)
	b.HandleOutcome(start+1000, h, Outcome{ID: "unsafe", Status: Rejected, Latency: 1000})
	if len(h.sends) != 1 || h.last() != "fail unsafe" {
		t.Errorf("an unsafe request that was turned away: %q", h.lines)
	}
	ask(b, h, start+2000, "keyed", 1)
	b.HandleOutcome(start+3000, h, Outcome{ID: "keyed", Status: Rejected, Latency: 1000})
	if len(h.sends) != 3 || b.byID[h.sends[1].server].Cell != b.byID[h.sends[2].server].Cell {
		t.Errorf("a keyed request that was turned away left its group: %q", h.lines)
	}
}

func TestRuleThreeDrainingAndGoneGetNothing(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b, h := with(t, testSettings(), 4)
		list := fleet(4)
		list[0].State, list[1].State = state, state
		b.UpdateEndpoints(start, h, IncrementalUpdate, list[:2])
		for i := range 300 {
			ask(b, h, start+Microseconds(i), fmt.Sprint(i), 0)
			b.HandleOutcome(start+Microseconds(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			if s.server == "s0" || s.server == "s1" {
				t.Fatalf("state %d: sent to %s", state, s.server)
			}
		}
		if len(h.sends) < 100 {
			t.Fatalf("only %d sends", len(h.sends))
		}
	}
}

func TestRuleThreeAServerMissingFromAWholeListIsGone(t *testing.T) {
	b, h := with(t, testSettings(), 2)
	b.UpdateEndpoints(start, h, FullUpdate, fleet(1))
	for i := range 50 {
		ask(b, h, start+Microseconds(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+Microseconds(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server != "s0" {
			t.Fatalf("sent to %s", s.server)
		}
	}
}

// A cold server's part of the draw stays under its least capacity.
func TestRuleFourColdServersGetTheirPart(t *testing.T) {
	s := testSettings()
	b, h := mustNew(t, s), &recorder{}
	list := fleet(2)
	list[1].StartedAt = start - 1
	b.UpdateEndpoints(start, h, FullUpdate, list)
	got := 0
	const n = 4000
	for i := range n {
		ask(b, h, start+Microseconds(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+Microseconds(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server == "s1" {
			got++
		}
	}
	part := float64(got) / float64(len(h.sends)-got)
	if part > s.SlowStartCapacity || part == 0 {
		t.Errorf("a cold server got %.3f of a warm one's calls, capacity is %.3f", part, s.SlowStartCapacity)
	}
	if w := b.slowStartFactor(start+s.SlowStartDuration, b.byID["s1"]); w != 1 {
		t.Errorf("a server past its warming time has warmth %v", w)
	}
}

func TestNoServerToSendTo(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	ask(b, h, start, "a", 2)
	if h.last() != "refuse a" {
		t.Errorf("with no list: %q", h.last())
	}
	list := fleet(1)
	list[0].State = Draining
	b.UpdateEndpoints(start, h, FullUpdate, list)
	ask(b, h, start, "b", 0)
	if h.last() != "refuse b" {
		t.Errorf("with all draining: %q", h.last())
	}
}

func TestCanPassThreadGrade(t *testing.T) {
	r := concurrencyLimit{max: 2.25}
	for _, c := range []struct {
		u    float64
		want bool
	}{{0, true}, {0, true}, {0.7, false}, {0.8, true}, {0.99, false}} {
		if r.admits(c.u) != c.want {
			t.Fatalf("canPass is %v at %d in flight of 2.25 with %v", !c.want, r.inFlight, c.u)
		}
		if c.want {
			r.acquire()
		}
	}
}

// After calm rounds counts stood at a million: a burst filled all servers of the front before one call was late.
func TestAnUnusedCountIsNotKept(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, n := start, 0
	for ; n < 200; n++ { // one call out at a time
		now += second / 4
		ask(b, h, now, fmt.Sprint(n), 0)
		b.HandleOutcome(now+100_000, h, Outcome{ID: fmt.Sprint(n), Status: OK, Latency: 100_000, RequestDone: true})
	}
	before := len(h.sends)
	for range 50 {
		n++
		ask(b, h, now+second/5, fmt.Sprint(n), 0)
	}
	if sent := len(h.sends) - before; sent < 3 || sent > 6 {
		t.Errorf("of a burst of 50 calls %d are sent where one at a time was seen out", sent)
	}
}

func TestCanPassQPSGradeWithFractions(t *testing.T) {
	for _, count := range []float64{0.5, 3, 40} {
		var r tenantQuota
		passed := 0
		const secs = 40
		for now := start; now < start+secs*second; now += second / 100 {
			if r.admits(now, start, count, 0, 0.5) {
				r.admitted.add(now)
				passed++
			}
		}
		if rate := float64(passed) / secs; math.Abs(rate-count) > 0.15*count+1.0/secs {
			t.Errorf("count %.1f passed %.2f a second", count, rate)
		}
	}
}

// A fresh copy with a stretched window once let a long window's worth through at once and choked the front.
func TestFreshCopyDoesNotPassALongWindowAtOnce(t *testing.T) {
	var r tenantQuota
	passed := 0
	for now := start; now < start+second; now += second / 100 {
		if r.admits(now, start, 3, 0, 0.5) {
			r.admitted.add(now)
			passed++
		}
	}
	if passed > 4 {
		t.Errorf("passed %d in the first second with a count of 3", passed)
	}
}

func TestCountIsLearnedByRounds(t *testing.T) {
	r := concurrencyLimit{max: initialLimit, floor: minLimit, evidence: evidenceRound{allowedBad: maxBadFraction, minDuration: second}}
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			r.adjust(&r.evidence, now, now, bad, speedOf(false, !bad))
		}
	}
	for range 20 {
		r.acquire()
	}
	feed(minRoundSamples, false)
	if want := limitHeadroomFactor*20 + limitHeadroom; r.max != want {
		t.Errorf("after a good round: %v, want %v", r.max, want)
	}
	sure := int(math.Floor(maxBadFraction*minRoundSamples)) + 1 // bad finishes after which no good ones could save the round
	feed(sure-1, true)
	if want := limitHeadroomFactor*20 + limitHeadroom; r.max != want {
		t.Errorf("before its verdict is sure a round changed the count to %v", r.max)
	}
	feed(1, true)
	cut := 20 * (1 - decreaseFactor*float64(sure)/(minRoundSamples/2))
	if r.max != cut {
		t.Errorf("after a bad round: %v, want %v", r.max, cut)
	}
	sentBefore := now - 1
	for range 3 * minRoundSamples { // evidence from before the cut must not cut again
		r.adjust(&r.evidence, now, sentBefore, true, slowResponse)
	}
	if r.max != cut {
		t.Errorf("old evidence changed the count to %v", r.max)
	}
	r.inFlight, r.peak = 0, 0
	for range 50 {
		feed(minRoundSamples, true)
	}
	if r.max != minLimit {
		t.Errorf("the count fell to %v, below its floor %v", r.max, minLimit)
	}
}

// A copy that has cut down to a call in seconds took a minute to fill a round, long after its servers were well.
func TestSparseRoundsEndByTimeAndOnlyWhenGood(t *testing.T) {
	ev := evidenceRound{allowedBad: maxBadFraction, minDuration: 5 * second}
	if v, _ := ev.add(start, start, true, slowResponse); v != signalPending {
		t.Errorf("one bad finish is taken for a round: %v", v)
	}
	if v, _ := ev.add(start+second, start, false, fastResponse); v != signalPending {
		t.Errorf("a half bad pair is taken for a round: %v", v)
	}
	ev = evidenceRound{allowedBad: maxBadFraction, minDuration: 5 * second, start: start}
	if v, _ := ev.add(start+second, start, false, fastResponse); v != signalPending {
		t.Errorf("quick finishes judge before slow ones can show: %v", v)
	}
	if v, _ := ev.add(start+5*second, start+second, false, fastResponse); v != signalHealthy {
		t.Errorf("after its span a good round is not judged: %v", v)
	}
}

// Each sparse copy let one call of each tenant through a window however low its share: hundreds of copies fed
// choked servers, which never came to rest.
func TestAPressedTenantHasNoFreeCall(t *testing.T) {
	passed := 0
	rnd := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var r tenantQuota
		for now := start; now < start+8*second; now += second {
			if r.admits(now, start-100*second, 0.01, 0, rnd.Float64()) {
				r.admitted.add(now)
				passed++
			}
		}
	}
	if most := 200; passed >= most || passed == 0 { // was one each
		t.Errorf("200 copies with a count of 0.01 a second passed %d calls in 8 s", passed)
	}
}

// In a jam pressed shares shed nothing at copies whose tenants each send less than a call a window: room for
// chance let all of it through.
func TestRoomForChanceGivesWayWhenCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 100, []Tenant{{QuotaFraction: 0.5, RateQuota: 30}, {QuotaFraction: 0.5, RateQuota: 30}}
	sent := func(share float64) int {
		b, h := with(t, s, 4)
		for i := range 100 {
			now, id := start+Microseconds(i)*4*second, fmt.Sprint(i)
			b.quotaMultiplier, b.tenants[0].arrivals, b.arrivals = share, tally{}, tally{}
			b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
			b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
		}
		return len(h.sends)
	}
	if n := sent(1); n < 95 {
		t.Errorf("with nothing slow %d of 100 pass", n)
	}
	if n := sent(0.2); n > 60 || n < 20 {
		t.Errorf("at a share of 0.2 %d of 100 pass", n)
	}
}

// At a copy that sees a call a second, chance alone fills a tenant's count: a third of the calls was refused
// on a calm fleet. A tenant that goes on sending more than its part must be held all the same.
func TestChanceIsNotTakenForAnOverfullShare(t *testing.T) {
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{QuotaFraction: 0.25, RateQuota: 30})
	}
	for _, c := range []struct {
		perSecond, most, least float64 // of tenant 0; the others send 0.25 a second each; parts of it refused
	}{{0.25, 0.05, 0}, {3, 1, 0.6}} {
		rnd := rand.New(rand.NewPCG(3, 3))
		sent, asked := 0.0, 0.0
		for copies := range 20 {
			s.ReplicaIndex = copies
			b, h := with(t, s, 4)
			for now := start; now < start+40*second; now += second / 100 {
				for tenant, rate := range []float64{c.perSecond, 0.25, 0.25, 0.25} {
					if rnd.Float64() > rate/100 {
						continue
					}
					id := fmt.Sprint(now, tenant)
					before := len(h.sends)
					b.HandleRequest(now, h, Request{ID: id, Tenant: tenant, Deadline: now + second})
					if tenant == 0 {
						asked++
						sent += float64(len(h.sends) - before)
					}
					b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 300_000, RequestDone: true})
				}
			}
		}
		if refused := 1 - sent/asked; refused > c.most || refused < c.least {
			t.Errorf("at %.2f calls a second and a count of 0.3, %.2f are refused", c.perSecond, refused)
		}
	}
}

func TestTenantOverItsShareIsShed(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 0.5, RateQuota: 20}, {QuotaFraction: 0.5, RateQuota: 20}}
	b, h := with(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := start; now < start+4*second; now += second / 100 {
		tenant := 0
		if n++; n%10 == 0 { // tenant 0 asks for 90 a second, tenant 1 for 10
			tenant = 1
		}
		before := len(h.sends)
		id := fmt.Sprint(n)
		b.HandleRequest(now, h, Request{ID: id, Class: 0, Tenant: tenant, Deadline: now + second})
		if len(h.sends) > before {
			sent[tenant]++
			b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 400_000, RequestDone: true})
		}
	}
	if sent[1] != 40 {
		t.Errorf("the tenant inside its share got %d of 40", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("the tenant over its share got %d in 4 s, at 20 a second", sent[0])
	}
}

func TestWeightsFollowSpeedAndFailures(t *testing.T) {
	b, _ := with(t, testSettings(), 2)
	fast, slow := b.byID["s0"], b.byID["s1"]
	c := b.classes[0]
	for range 200 {
		b.recordLatency(c, fast, 100_000)
		b.recordLatency(c, slow, 300_000)
	}
	if b.weight(start, fast, b.classes[0]) < 2*b.weight(start, slow, b.classes[0]) {
		t.Errorf("weights %v and %v", b.weight(start, fast, b.classes[0]), b.weight(start, slow, b.classes[0]))
	}
	before := b.weight(start, fast, b.classes[0])
	b.recordStatus(fast, b.classes[0], Error)
	if b.weight(start, fast, b.classes[0]) > before/2 {
		t.Error("a failure that its peer does not show left the weight")
	}
	for range 100 {
		b.recordStatus(fast, b.classes[0], Error)
	}
	if b.weight(start, fast, b.classes[0]) <= 0 {
		t.Error("no floor keeps trials going")
	}
}

// Servers that failed one class were lost to the others too, and the rest was crowded.
func TestAnErrorConcernsItsClassAndSilenceTheServer(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	ill, well := b.byID["s0"], b.byID["s1"]
	for range 5 {
		b.recordStatus(ill, b.classes[0], Error)
		b.recordStatus(well, b.classes[0], OK)
	}
	if w := b.weight(start, ill, b.classes[0]); w > b.weight(start, well, b.classes[0])/5 {
		t.Errorf("a server that fails the class keeps weight %v", w)
	}
	if b.weight(start, ill, b.classes[2]) != b.weight(start, well, b.classes[2]) {
		t.Error("errors of one class cost a server the others")
	}
	for range 5 {
		b.recordStatus(ill, b.classes[0], TimedOut)
		for range 3 {
			b.recordStatus(well, b.classes[0], OK)
		}
	}
	if w := b.weight(start, ill, b.classes[2]); w > b.weight(start, well, b.classes[2])/5 {
		t.Errorf("a silent server keeps weight %v for the other classes", w)
	}
}

// A server that failed at once was always empty, and drew most calls while its peers were at work.
func TestAServerThatFailsAtOnceDoesNotDrawCallsByBeingEmpty(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, ill, sent := start, 0, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		ask(b, h, now, id, 0)
		for n := 0; n < 4 && len(h.sends) > sent; n++ {
			s := h.sends[len(h.sends)-1]
			if sent = len(h.sends); s.server != "s0" {
				break // its peers hold each call for a while
			}
			ill++
			b.HandleOutcome(now+1000, h, Outcome{ID: id, Attempt: n, Status: Error, Latency: 1000})
		}
		if i >= 20 {
			id := fmt.Sprint(i - 20)
			if q := b.requests[id]; q != nil {
				b.HandleOutcome(now+2000, h, Outcome{ID: id, Attempt: len(q.attempts) - 1, Latency: 400_000, RequestDone: true})
			}
		}
	}
	if ill == 0 || ill > sent/10 {
		t.Errorf("%d of %d attempts went to the failing server of four", ill, sent)
	}
}

// Two full servers of four were left empty for seconds, and the other two were crowded until they slowed down.
func TestAFullServerKeepsItsPartOfTheCalls(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	now, there := start, 0
	for i := range 400 {
		id := fmt.Sprint(i)
		now += 20_000
		ask(b, h, now, id, 0)
		if b.requests[id] == nil {
			continue
		}
		status := OK
		if s := h.sends[len(h.sends)-1]; s.server == "s0" {
			if there++; there%2 == 0 {
				status = Rejected
			}
		}
		for n := 0; b.requests[id] != nil && n < 4; n++ {
			b.HandleOutcome(now+10_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 10_000, RequestDone: status == OK})
			status = OK
		}
	}
	if there < 70 {
		t.Errorf("%d of 400 requests went first to the server that is full every other time", there)
	}
}

// An error that all servers show comes from a deeper tier: no server is blamed.
func TestPeersShowingTheSameAreNotBlamed(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.all {
			b.recordStatus(s, b.classes[0], Error)
		}
	}
	for _, s := range b.all {
		if b.recordStatus(s, b.classes[0], Error) {
			t.Errorf("%s is blamed for what its peers show", s.ID)
		}
	}
}

// Requests of one key once overtook one another: an earlier one was still out at a slow server.
func TestAKeyKeepsItsOrder(t *testing.T) {
	s := testSettings()
	s.Classes[2].OrderedByKey, s.OrderedKeyCooldown = true, 100_000
	b, h := with(t, s, 4)
	take := func(now Microseconds, id, key string) {
		b.HandleRequest(now, h, Request{ID: id, Class: 2, Key: key, Deadline: now + second})
	}
	sends := func() (ids []string) {
		for _, s := range h.sends {
			ids = append(ids, s.id)
		}
		return ids
	}
	take(start, "a", "k")
	take(start+1, "b", "k")
	take(start+2, "c", "k")
	take(start+3, "other", "j")
	take(start+4, "free", "")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v", got)
	}
	b.CancelRequest(start+5, h, "b")
	b.CancelRequest(start+6, h, "a") // over, but its attempt is still out
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while an attempt of the key was out", got)
	}
	b.HandleOutcome(start+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000, RequestDone: true})
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while the key rests", got)
	}
	b.TimerFired(start+101_000, h, "turn k")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v after the rest", got)
	}
	take(start+102_000, "d", "k")
	b.TimerFired(start+102_000+second-1000, h, "held d")
	if h.last() != "refuse d" {
		t.Errorf("a held request's time ends with %q", h.last())
	}
	b.HandleOutcome(start+102_000, h, Outcome{ID: "c", Status: OK, Latency: 1000, RequestDone: true})
	if len(b.keyQueues) != 1 || len(b.requests) != 2 { // "other" and its key
		t.Errorf("%d keys and %d requests are kept", len(b.keyQueues), len(b.requests))
	}
}

// Without failures nothing once trimmed what the budget counts: a calm copy would have grown for ever.
func TestWhatTheBudgetCountsIsForgotten(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	for i := range Microseconds(1000) {
		now, id := start+i*second, fmt.Sprint(i)
		ask(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if most := int(defaultRetryBudgetWindow/second) + 1; len(b.requestTimes) > most {
		t.Errorf("%d times of requests are kept, %d are needed", len(b.requestTimes), most)
	}
}

// A saved-up allowance once let a burst of retries through after a calm time, over the stated budget.
func TestTheBudgetHoldsInAnyWindow(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	b, h := with(t, s, 8)
	var taken, further timeline
	for i := range Microseconds(2000) {
		now, id := start+i*20_000, fmt.Sprint(i)
		before := len(h.sends)
		ask(b, h, now, id, 0)
		taken = append(taken, now)
		status := OK // a long calm, then everything fails
		if i > 1000 {
			status = Error
		}
		for k := 0; len(h.sends) > before+k; k++ {
			if k > 0 {
				further = append(further, now)
			}
			b.HandleOutcome(now, h, Outcome{ID: id, Attempt: k, Status: status, Latency: 1000, RequestDone: status == OK})
		}
		if n, m := further.since(now-5*second), taken.since(now-5*second+1); n > 3+0.05*m {
			t.Fatalf("at %d: %v further attempts where %v requests were taken", now-start, n, m)
		}
	}
	if len(further) == 0 {
		t.Error("no further attempt was made")
	}
}

func TestFurtherAttemptsAreBudgeted(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	b.tierLimit.floor, b.tierLimit.max = 1e9, 1e9
	const n = 400
	for i := range n {
		id := fmt.Sprint(i)
		now := start + Microseconds(i)*1000
		before := len(h.sends)
		ask(b, h, now, id, 0)
		for k := 0; len(h.sends) > before+k; k++ {
			b.HandleOutcome(now, h, Outcome{ID: id, Attempt: k, Status: Error, Latency: 1000})
		}
	}
	firsts := 0
	seen := map[string]bool{}
	for _, s := range h.sends {
		if !seen[s.id] {
			firsts++
			seen[s.id] = true
		}
	}
	if extra := len(h.sends) - firsts; extra == 0 || float64(extra) > defaultRetryBudgetMin+defaultRetryBudgetRatio*float64(n) {
		t.Errorf("%d further attempts on %d first ones", extra, firsts)
	}
}

// Many copies that draw from all servers fill every server's connection table.
func TestSubsetsAreSmallAndCoverTheFleet(t *testing.T) {
	const copies, servers = 60, 90
	users := map[string]int{}
	for i := range copies {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = copies, i
		b, h := with(t, s, servers)
		met := map[string]bool{}
		for k := range 400 {
			now := start + Microseconds(k)*50_000 // 20 a second
			ask(b, h, now, fmt.Sprint(k), 0)
			b.HandleOutcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			met[s.server] = true
		}
		if len(met) > servers/3 {
			t.Fatalf("copy %d met %d servers", i, len(met))
		}
		for s := range met {
			users[s]++
		}
	}
	if len(users) != servers {
		t.Errorf("%d of %d servers are in some subset", len(users), servers)
	}
}

// Copies with a few calls a second met each of twelve servers once in many seconds, and went on crowding the
// ones that had turned slow.
func TestASparseCopyMeetsItsServersOftenEnough(t *testing.T) {
	b, h := with(t, testSettings(), 60)
	met := map[string]int{}
	for k := range 240 {
		now := start + Microseconds(k)*second/3 // 3 a second
		ask(b, h, now, fmt.Sprint(k), 0)
		b.HandleOutcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		met[s.server]++
	}
	if len(met) > 8 || len(met) < 4 {
		t.Errorf("3 calls a second are spread over %d servers", len(met))
	}
}

func TestWatchIsAskedForAgainAfterAFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 10*second
	b, h := with(t, s, 2)
	if h.watch != 1 {
		t.Fatalf("watched %d times after the first list", h.watch)
	}
	b.UpdateEndpoints(start, h, FailedUpdate, nil)
	if len(h.timer) != 1 {
		t.Fatalf("%d timers after a failure", len(h.timer))
	}
	b.UpdateEndpoints(start, h, FailedUpdate, nil) // the broken subscription and the failed call are told one by one
	if len(h.timer) != 1 {
		t.Errorf("%d timers after the same failure was told twice", len(h.timer))
	}
	b.TimerFired(start+second, h, h.timer[0])
	b.TimerFired(start+second, h, h.timer[0])
	if h.watch != 2 {
		t.Errorf("watched %d times after the timer", h.watch)
	}
}

// However many calls in a row fail, the next one is not put off for long: a change counts as told 6 s after the list had
// it, and what a call and its wait take comes on top.
func TestCallsThatFailAreMadeUpForSoon(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 24*second
	b, h := with(t, s, 2)
	for range 20 {
		h.delays = nil
		b.UpdateEndpoints(start, h, FailedUpdate, nil)
		if len(h.delays) != 1 || h.delays[0] > 2*second {
			t.Fatalf("rests %v", h.delays)
		}
		b.TimerFired(start, h, subscribeToken)
	}
}

func TestHomeFirstAndSpillUnderPressure(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	home := b.weight(start, b.byID["s0"], b.classes[0])
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			b.recordPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now, zone: b.settings.Zone}, bad, bad, speedOf(false, !bad))
		}
	}
	feed(60*minRoundSamples, false)
	if away := b.weight(start, b.byID["s2"], b.classes[0]); away > home/10 {
		t.Errorf("a calm home leaves %.3f of the weight to other zones", away/home)
	}
	feed(20*minRoundSamples, true)
	if away := b.weight(start, b.byID["s2"], b.classes[0]); away < home/2 {
		t.Errorf("a home in trouble leaves %.3f of the weight to other zones", away/home)
	}
}

// On a day of pamoja-dar calls worth twelve times as much came late behind long cheap ones.
func TestACheapClassYieldsToAWorthierOne(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, _ := with(t, s, 4)
	cheap, dear := &b.classes[0].limit, &b.classes[1].limit
	for range 10 {
		cheap.acquire()
		dear.acquire()
	}
	now, long := start, s.Classes[1].LatencyObjective*3/4
	for range 4 * minRoundSamples {
		now += 2 * long
		b.recordPressure(now, b.classes[1], &attempt{class: &b.settings.Classes[1], sentAt: now - long}, true, true, slowResponse)
	}
	if cheap.max > 10 || dear.max != initialLimit {
		t.Errorf("after slow calls of the worthier class: cheap %v, dear %v", cheap.max, dear.max)
	}
	for range 4 * minRoundSamples {
		now += 2 * long
		b.recordPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now - long}, true, true, slowResponse)
	}
	if dear.max != initialLimit {
		t.Errorf("slow cheap calls cut the worthier class to %v", dear.max)
	}
}

// Service times vary: on quiet days a third of the worthier calls took much longer than the rest, all well in
// time, and cheap calls were refused for it.
func TestACheapClassDoesNotYieldToChance(t *testing.T) {
	s := testSettings()
	s.Classes[1].PriorityWeight = 40
	b, h := with(t, s, 4)
	ends := map[Microseconds][]string{}
	for step := range Microseconds(2000) { // of 10 ms
		now := start + step*10_000
		for _, id := range ends[step] {
			took := now - b.requests[id].arrivedAt
			b.HandleOutcome(now, h, Outcome{ID: id, Latency: took, RequestDone: true})
		}
		if step%3 == 0 {
			id, class, steps := fmt.Sprint(step), int(step/3%2), Microseconds(10)
			if class == 1 && step%9 == 0 {
				steps = 28 // 0.28 s: the aim is 0.5 s
			}
			ask(b, h, now, id, class)
			if b.requests[id] != nil {
				ends[step+steps] = append(ends[step+steps], id)
			}
		}
	}
	if len(h.hints) > 0 {
		t.Errorf("%d of %d calls refused", len(h.hints), len(h.hints)+len(h.sends))
	}
}

// When a zone is lost all home servers refuse connections alike: they are to blame nonetheless.
func TestARefusedConnectionIsAlwaysBlamed(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.all {
			if !b.recordStatus(s, b.classes[0], ConnectFailed) {
				t.Fatalf("%s is not blamed for a refused connection", s.ID)
			}
		}
	}
}

func TestHeldSharesAreReportedRarely(t *testing.T) {
	b, h := with(t, testSettings(), 2)
	b.report(start, h)
	if len(h.lines) != 0 {
		t.Fatalf("a calm copy reports %q", h.lines)
	}
	b.quotaMultiplier = 0.5
	for i := range Microseconds(25) {
		b.report(start+i*second, h)
	}
	if len(h.lines) != 3 {
		t.Errorf("%d lines in 25 s, want one each 10 s", len(h.lines))
	}
}

// A fresh copy held every tenant to its share from its first call on and was slow to learn better: on a calm
// day of half a minute most refusals at the front were these. The first bad round takes all of the room back.
func TestAFreshCopyDoesNotHoldTenantsToTheirSharesUntilCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, h := with(t, s, 8)
	for i := range 32 { // a second's traffic at 1.6 times the share
		now, id := start+Microseconds(i)*second/32, fmt.Sprint(i)
		b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
		b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 pass at a fresh copy", n)
	}
	for i := 0; b.quotaMultiplier > 1; i++ {
		if i == 10*minRoundSamples {
			t.Fatalf("share still %v", b.quotaMultiplier)
		}
		now := start + 2*second + Microseconds(i)
		b.recordPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, true, true, slowResponse)
	}
	if b.quotaMultiplier < minQuotaMultiplier || b.quotaMultiplier >= 1 {
		t.Errorf("a bad round leaves a share of %v", b.quotaMultiplier)
	}
}

// A hint of one to two seconds sent clients back with most of the aim gone: on a small day with a slow
// backend up to a quarter was answered late though one call in twenty was.
func TestAHintLeavesTimeForATimelyAnswer(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := with(t, s, 0) // no server: all is refused
	for i := range 100 {
		b.HandleRequest(start, h, Request{ID: fmt.Sprint(i), Deadline: start + second})
	}
	most := s.Classes[0].LatencyObjective / 2
	if len(h.hints) != 100 || slices.Min(h.hints) < most/2 || slices.Max(h.hints) > most {
		t.Errorf("hints %v, want %d to %d", h.hints, most/2, most)
	}
}

// One bad round held a tenant to its share for the rest of a short day, though calls were timely again.
func TestTheRoomThatABadRoundTookComesBackWithinADozenRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, _ := with(t, s, 8)
	b.quotaMultiplier = overloadQuotaMultiplierFront
	for i := range 12 * minRoundSamples {
		now := start + Microseconds(i)
		b.recordPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, false, false, fastResponse)
	}
	if b.quotaMultiplier != initialQuotaMultiplier {
		t.Errorf("share %v after a dozen good rounds", b.quotaMultiplier)
	}
}

// A long day brings ever new ids, keys and servers; what has ended leaves nothing behind.
func TestWhatHasEndedLeavesNothing(t *testing.T) {
	s := testSettings()
	s.OrderedKeyCooldown = 1000
	for i := range s.Classes {
		s.Classes[i].OrderedByKey = true
	}
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 1000}}
	b, h := with(t, s, 4)
	now := start
	for i := range 30_000 {
		now += 2_000
		id := fmt.Sprint("r", i)
		if i%10 == 0 { // a server is replaced
			b.UpdateEndpoints(now, h, IncrementalUpdate, []Endpoint{{ID: fmt.Sprint("n", i), Cell: i, State: Ready, Capacity: 1, StartedAt: now},
				{ID: fmt.Sprint("n", i-100), State: Removed}})
		}
		h.sends, h.timer, h.lines, h.hints = nil, nil, nil, nil
		b.HandleRequest(now, h, Request{ID: id, Class: i % len(s.Classes), Key: fmt.Sprint("k", i), Deadline: now + 1_000_000})
		for n := 0; n < len(h.sends); n++ {
			status := OK
			if i%7 == 0 {
				status = Reset
			}
			b.HandleOutcome(now+1_000, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 1_000, RequestDone: status == OK})
		}
		for _, token := range h.timer {
			b.TimerFired(now+2_000, h, token)
		}
	}
	waiting := 0
	for _, c := range b.classes {
		waiting += len(c.unmarked)
	}
	if len(b.requests) > 0 || len(b.keyQueues) > 0 || len(b.byID) > 20 || len(b.all) > 20 || len(b.requestTimes) > 6000 ||
		len(b.retryTimes) > 6000 || waiting > 2000 {
		t.Errorf("left: %d requests, %d turns, %d and %d servers, %d taken, %d further, %d waiting", len(b.requests),
			len(b.keyQueues), len(b.byID), len(b.all), len(b.requestTimes), len(b.retryTimes), waiting)
	}
}
