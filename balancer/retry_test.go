package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// A rejected client retries by the time given in Retry-After at the latest. If an attempt may have run,
// endpoints must still deduplicate the request then.
func TestHandleOutcomeRejectsOnlyWhileRepeatsAreDeduplicated(t *testing.T) {
	for _, c := range []struct {
		class         int
		status        Status
		after         Microseconds
		maxRetryAfter Microseconds
		want          string
	}{
		{idempotentClass, Error, 900_000, 2_000_000, "reject r"},
		{tierDedupClass, Error, 1000, 0, "reject r"},
		{tierDedupClass, Error, 1000, 200_000, "reject r"},
		{tierDedupClass, Error, 1000, 2_000_000, "reject r"}, // half of the objective is the bound
		{tierDedupClass, Error, 100_000, 200_000, "fail r"},
		{tierDedupClass, Error, 100_000, 100_000, "reject r"},
		{tierDedupClass, Reset, 285_000, 0, "fail r"},
		{tierDedupClass, Rejected, 900_000, 2_000_000, "reject r"},
		{cellDedupClass, Error, 1000, 0, "fail r"},
		{notIdempotentClass, Rejected, 1000, 0, "reject r"},
	} {
		name := fmt.Sprintf("class %d status %d after %d max %d", c.class, c.status, c.after, c.maxRetryAfter)
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.MaxAttempts, s.MaxRetryAfter = 1, c.maxRetryAfter
			b, h := newWithEndpoints(t, s, 8)
			sendRequest(b, h, testStart, "r", c.class)
			b.HandleOutcome(testStart+c.after, h, Outcome{ID: "r", Status: c.status, Latency: c.after})
			if h.last() != c.want {
				t.Errorf("got %q, want %q", h.last(), c.want)
			}
		})
	}
}

func TestHandleOutcomeRetriesWithinIdempotency(t *testing.T) {
	const (
		retryAnywhere = "retry"
		retryInCell   = "retry in the same cell"
		retryInZone   = "retry in the same zone"
		fail          = "fail"
	)
	for _, c := range []struct {
		class  int
		status Status
		after  Microseconds
		want   string
	}{
		{idempotentClass, Error, 1000, retryAnywhere},
		{idempotentClass, Reset, 1000, retryAnywhere},
		{idempotentClass, Rejected, 1000, retryAnywhere},
		{cellDedupClass, Rejected, 1000, retryAnywhere},
		{cellDedupClass, Error, 1000, retryInCell},
		{cellDedupClass, Error, 300_000, fail}, // the dedup window is over
		{notIdempotentClass, Rejected, 1000, retryAnywhere},
		{notIdempotentClass, ConnectFailed, 1000, retryAnywhere},
		{notIdempotentClass, Error, 1000, fail},
		{notIdempotentClass, TimedOut, 1000, fail},
		{notIdempotentClass, Reset, 1000, fail},
		{tierDedupClass, Error, 1000, retryAnywhere},
		{tierDedupClass, Error, 300_000, fail}, // the client would retry after the dedup window
		{zoneDedupClass, Error, 1000, retryInZone},
		{zoneDedupClass, Error, 300_000, fail},
	} {
		t.Run(fmt.Sprintf("class %d status %d after %d", c.class, c.status, c.after), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 8)
			sendRequest(b, h, testStart, "r", c.class)
			b.HandleOutcome(testStart+c.after, h, Outcome{ID: "r", Status: c.status, Latency: c.after})
			if c.want == fail {
				if h.last() != "fail r" {
					t.Errorf("got %q, want a failure", h.last())
				}
				return
			}
			if len(h.sends) != 2 {
				t.Fatalf("got %q, want a retry", h.last())
			}
			first, second := b.endpoints.byID[h.sends[0].endpoint], b.endpoints.byID[h.sends[1].endpoint]
			if c.want == retryInCell && first.Cell != second.Cell || c.want == retryInZone && first.Zone != second.Zone {
				t.Errorf("first attempt at %v, retry at %v, want: %s",
					first.Endpoint, second.Endpoint, c.want)
			}
		})
	}
}

func TestHandleOutcomeTreatsRejectedAsPossiblyRunIfConfigured(t *testing.T) {
	s := testSettings()
	s.RejectedMayRun = true
	b, h := newWithEndpoints(t, s, 8)
	sendRequest(b, h, testStart, "unsafe", notIdempotentClass)
	b.HandleOutcome(testStart+1000, h, Outcome{ID: "unsafe", Status: Rejected, Latency: 1000})
	if len(h.sends) != 1 || h.last() != "fail unsafe" {
		t.Errorf("request that is not idempotent, rejected by its endpoint: %q, want a failure", h.actions)
	}
	sendRequest(b, h, testStart+2000, "keyed", cellDedupClass)
	b.HandleOutcome(testStart+3000, h, Outcome{ID: "keyed", Status: Rejected, Latency: 1000})
	if len(h.sends) != 3 {
		t.Fatalf("request with an idempotency key, rejected by its endpoint: %q, want a retry", h.actions)
	}
	first, second := b.endpoints.byID[h.sends[1].endpoint], b.endpoints.byID[h.sends[2].endpoint]
	if first.Cell != second.Cell {
		t.Errorf("request with an idempotency key retried in another cell: %q", h.actions)
	}
}

// Even if there are no retries, the times of requests must not be kept forever.
func TestRetryBudgetForgetsOldRequests(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	for i := range Microseconds(1000) {
		now, id := testStart+i*second, fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, 1000)
	}
	if most := int(defaultRetryBudgetWindow/second) + 1; len(b.retries.requests) > most {
		t.Errorf("times of %d requests are kept, want at most %d", len(b.retries.requests), most)
	}
}

// A long time without failures must not accumulate a retry allowance for a time when everything fails.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	b, h := newWithEndpoints(t, s, 8)
	var requests, retries timeline
	for i := range Microseconds(2000) {
		now, id := testStart+i*20_000, fmt.Sprint(i)
		before := len(h.sends)
		sendRequest(b, h, now, id, idempotentClass)
		requests = append(requests, now)
		status := OK
		if i > 1000 {
			status = Error
		}
		for n := 0; len(h.sends) > before+n; n++ {
			if n > 0 {
				retries = append(retries, now)
			}
			b.HandleOutcome(now, h, Outcome{ID: id, Attempt: n, Status: status, Latency: 1000, RequestDone: status == OK})
		}
		recentRetries, recentRequests := retries.countSince(now-5*second), requests.countSince(now-5*second+1)
		if recentRetries > 3+0.05*recentRequests {
			t.Fatalf("at %d: %v retries for %v requests within the window",
				now-testStart, recentRetries, recentRequests)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was made")
	}
}

func TestRetryStaysWithinDefaultBudget(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 4)
	b.tierLimit.floor, b.tierLimit.max = 1e9, 1e9
	const requests = 400
	for i := range requests {
		id := fmt.Sprint(i)
		now := testStart + Microseconds(i)*1000
		before := len(h.sends)
		sendRequest(b, h, now, id, idempotentClass)
		for n := 0; len(h.sends) > before+n; n++ {
			b.HandleOutcome(now, h, Outcome{ID: id, Attempt: n, Status: Error, Latency: 1000})
		}
	}
	sent := map[string]bool{}
	for _, s := range h.sends {
		sent[s.id] = true
	}
	most := defaultRetryBudgetMin + defaultRetryBudgetRatio*float64(requests)
	if retries := len(h.sends) - len(sent); retries == 0 || float64(retries) > most {
		t.Errorf("%d retries of %d requests, want some and at most %v", retries, len(sent), most)
	}
}

// A client that retries after Retry-After must still be able to get an answer in time.
func TestRejectKeepsRetryAfterWithinHalfTheObjective(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = 2 * second
	b, h := newWithEndpoints(t, s, 0)
	for i := range 100 {
		sendRequest(b, h, testStart, fmt.Sprint(i), idempotentClass)
	}
	most := s.Classes[idempotentClass].LatencyObjective / 2
	if len(h.retryAfters) != 100 || slices.Min(h.retryAfters) < most/2 || slices.Max(h.retryAfters) > most {
		t.Errorf("Retry-After %v, want 100 values from %d to %d", h.retryAfters, most/2, most)
	}
}

func TestReconfigureCountsEarlierRetriesInLongerBudget(t *testing.T) {
	s := named(testSettings())
	s.RetryBudgetWindow, s.RetryBudgetMin = second, 1
	b, h := newWithEndpoints(t, s, 4)
	retries := func(now Microseconds, id string) int {
		sendRequest(b, h, now, id, idempotentClass)
		before := len(h.sends)
		b.HandleOutcome(now+1, h, Outcome{ID: id, Status: Error, Latency: 1})
		return len(h.sends) - before
	}
	if retries(testStart, "a") != 1 || retries(testStart+2*second, "b") != 1 {
		t.Fatal("no retry within the budget of one per second")
	}
	s.RetryBudgetWindow = 30 * second
	mustReconfigure(t, b, s)
	if retries(testStart+20*second, "c") != 0 {
		t.Error("a second retry within 30 s, want none")
	}
	if retries(testStart+40*second, "d") != 1 {
		t.Error("no retry after 30 s")
	}
}

// A retry exactly at the start of the window counts, a request there does not.
func TestRetryBudgetIsExactAtEdgeOfWindow(t *testing.T) {
	s := &Settings{RetryBudgetWindow: 5 * second, RetryBudgetMin: 1, RetryBudgetRatio: 1}
	for _, c := range []struct {
		name              string
		requests, retries timeline
		exhausted         bool
	}{
		{"request inside", timeline{testStart + 1}, timeline{testStart + 1}, false},
		{"request at the edge", timeline{testStart}, timeline{testStart + 1}, true},
		{"retry at the edge", nil, timeline{testStart}, true},
		{"retry outside", nil, timeline{testStart - 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := retryBudget{requests: c.requests, retries: c.retries}
			if got := budget.exhausted(testStart+5*second, s); got != c.exhausted {
				t.Errorf("exhausted is %v, want %v", got, c.exhausted)
			}
		})
	}
}

func TestHandleOutcomeRetriesAtUntriedEndpoint(t *testing.T) {
	for i := range 50 {
		b, h := newWithEndpoints(t, testSettings(), 2)
		id := fmt.Sprint(i)
		countSends(b, testStart, i) // so that random selections differ
		sendRequest(b, h, testStart+second, id, idempotentClass)
		b.HandleOutcome(testStart+second+1000, h, Outcome{ID: id, Status: Rejected, Latency: 1000})
		if len(h.sends) != 2 || h.sends[0].endpoint == h.sends[1].endpoint {
			t.Fatalf("request %d: %q, want a retry at the other endpoint", i, h.actions)
		}
	}
}
