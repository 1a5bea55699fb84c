package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// testStart is the time of the first event in tests.
const testStart = Microseconds(1_000_000_000)

// The classes of testSettings. Requests of the three dedup classes carry an idempotency key.
const (
	idempotentClass = iota
	cellDedupClass
	notIdempotentClass
	tierDedupClass
	zoneDedupClass
)

// recorder is a Host that records the calls of its methods.
type recorder struct {
	actions       []string
	sends         []sentAttempt
	subscriptions int
	timerTokens   []string
	timerDelays   []Microseconds
	retryAfters   []Microseconds
}

type sentAttempt struct {
	id, endpoint string
	timeout      Microseconds
}

func (r *recorder) record(format string, a ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, a...))
}

func (r *recorder) Send(id, endpoint string, timeout, _ Microseconds) {
	r.record("send %s %s %d", id, endpoint, timeout)
	r.sends = append(r.sends, sentAttempt{id, endpoint, timeout})
}

func (r *recorder) Reject(id string, retryAfter Microseconds) {
	r.record("reject %s", id)
	r.retryAfters = append(r.retryAfters, retryAfter)
}

func (r *recorder) Fail(id string) { r.record("fail %s", id) }

func (r *recorder) SetTimer(delay Microseconds, token string) {
	r.record("timer %d %s", delay, token)
	r.timerTokens = append(r.timerTokens, token)
	r.timerDelays = append(r.timerDelays, delay)
}

func (r *recorder) Log(string) { r.record("log") }

func (r *recorder) Subscribe() {
	r.record("subscribe")
	r.subscriptions++
}

// last returns the latest action, or an empty string if there was none.
func (r *recorder) last() string {
	if len(r.actions) == 0 {
		return ""
	}
	return r.actions[len(r.actions)-1]
}

// testSettings returns settings with a class of each kind of idempotency and dedup scope.
func testSettings() Settings {
	s := Settings{Replicas: 1, Zones: 2, MaxAttempts: 4, DrainGrace: 500_000,
		SlowStartCapacity: 0.2, SlowStartDuration: 20_000_000}
	const window = 300_000
	for _, c := range []Class{
		idempotentClass:    {Idempotency: Idempotent},
		cellDedupClass:     {Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: window},
		notIdempotentClass: {Idempotency: NotIdempotent, DedupWindow: window},
		tierDedupClass:     {Idempotency: IdempotentWithKey, DedupScope: DedupTier, DedupWindow: window},
		zoneDedupClass:     {Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: window},
	} {
		c.LatencyObjective, c.Deadline, c.PriorityWeight, c.LateFraction = 500_000, 1_500_000, 1, 0.3
		s.Classes = append(s.Classes, c)
	}
	return s
}

// named names the classes and tenants, so that Reconfigure identifies them by name instead of by index.
func named(s Settings) Settings {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	for i := range s.Classes {
		s.Classes[i].Name = fmt.Sprint("class", i)
	}
	for i := range s.Tenants {
		s.Tenants[i].Name = fmt.Sprint("tenant", i)
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

func mustReconfigure(t *testing.T, b *Balancer, s Settings) {
	t.Helper()
	if err := b.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
}

// readyEndpoints returns n ready endpoints, two in each cell, with cells alternating between two zones.
func readyEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i / 2 % 2, Cell: i / 2, State: Ready, Capacity: 1})
	}
	return list
}

// newWithEndpoints returns a Balancer that knows n ready endpoints, and its host.
func newWithEndpoints(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	t.Helper()
	b, h := mustNew(t, s), &recorder{}
	b.UpdateEndpoints(testStart, h, FullUpdate, readyEndpoints(n))
	return b, h
}

// sendRequest has a request arrive whose client waits for a second.
func sendRequest(b *Balancer, h Host, now Microseconds, id string, class int) {
	b.HandleRequest(now, h, Request{ID: id, Class: class, Deadline: now + second})
}

// succeed ends the first attempt of a request with success.
func succeed(b *Balancer, h Host, now Microseconds, id string, latency Microseconds) {
	b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: latency, RequestDone: true})
}

// countSends has n requests arrive, answers each one immediately, and returns the number of requests per
// endpoint.
func countSends(b *Balancer, now Microseconds, n int) map[string]int {
	h, counts := &recorder{}, map[string]int{}
	for i := range n {
		id := fmt.Sprint(now, "-", i)
		sendRequest(b, h, now, id, idempotentClass)
		if len(h.sends) == i+1 {
			counts[h.sends[i].endpoint]++
			succeed(b, h, now+1000, id, 1000)
		}
	}
	return counts
}

// randomDuration returns a random duration in [0, limit).
func randomDuration(random *rand.Rand, limit Microseconds) Microseconds {
	return Microseconds(random.Int64N(int64(limit)))
}
