package balancer

import (
	"fmt"
	"math/rand/v2"
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

// drawTime draws a time in [0, most).
func drawTime(rnd *rand.Rand, most Microseconds) Microseconds {
	return Microseconds(rnd.Int64N(int64(most)))
}
