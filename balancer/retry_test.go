package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// TestHandleOutcomeRejectsOnlyWhileRepeatsAreDropped ends requests after an attempt that may have run. A client that is rejected comes again, at the latest when Retry-After
// is over: by then endpoints must still drop repeats.
func TestHandleOutcomeRejectsOnlyWhileRepeatsAreDropped(t *testing.T) {
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

func TestHandleOutcomeRetriesWithinIdempotency(t *testing.T) {
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

// TestHandleOutcomeTakesRejectedAsMayHaveRun sets RejectedMayRun: a rejected attempt may bring neither a retry outside the dedup scope nor a rejection.
func TestHandleOutcomeTakesRejectedAsMayHaveRun(t *testing.T) {
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
	if len(h.sends) != 3 || b.endpoints.byID[h.sends[1].server].Cell != b.endpoints.byID[h.sends[2].server].Cell {
		t.Errorf("a keyed request that was turned away left its group: %q", h.lines)
	}
}

// TestRetryBudgetForgetsOldRequests makes no retry, which must not keep the times of requests for ever.
func TestRetryBudgetForgetsOldRequests(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	for i := range Microseconds(1000) {
		now, id := start+i*second, fmt.Sprint(i)
		ask(b, h, now, id, 0)
		b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if most := int(defaultRetryBudgetWindow/second) + 1; len(b.retries.requests) > most {
		t.Errorf("%d times of requests are kept, %d are needed", len(b.retries.requests), most)
	}
}

// TestRetryBudgetHoldsInAnyWindow fails everything after a long calm: no allowance that was saved up meanwhile lets retries exceed the stated budget.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
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

func TestRetryKeepsDefaultBudget(t *testing.T) {
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

// TestRejectKeepsRetryAfterWithinObjective checks that a client which heeds Retry-After can still have a timely answer.
func TestRejectKeepsRetryAfterWithinObjective(t *testing.T) {
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

// TestReconfigureCountsEarlierRetriesInLongerBudget checks that a longer window of the budget counts the retries from before it was in force.
func TestReconfigureCountsEarlierRetriesInLongerBudget(t *testing.T) {
	s := named(testSettings())
	s.RetryBudgetWindow, s.RetryBudgetMin = second, 1
	b, h := with(t, s, 4)
	fail := func(now Microseconds, id string) (sends int) {
		ask(b, h, now, id, 0)
		n := len(h.sends)
		b.HandleOutcome(now+1, h, Outcome{ID: id, Status: Error, Latency: 1})
		return len(h.sends) - n
	}
	if fail(start, "a") != 1 || fail(start+2*second, "b") != 1 {
		t.Fatal("the budget of one in a second is not given")
	}
	s.RetryBudgetWindow = 30 * second
	mustReconfigure(t, b, s)
	if fail(start+20*second, "c") != 0 {
		t.Error("a second one in 30 s")
	}
	if fail(start+40*second, "d") != 1 {
		t.Error("none after 30 s")
	}
}
