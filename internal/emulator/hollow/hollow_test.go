package hollow

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

// The classes of testSettings.
const (
	idempotentClass = iota
	nonIdempotentClass
)

func testSettings() balancer.Settings {
	return balancer.Settings{Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartCapacity: 0.2, SlowStartDuration: 20_000_000,
		Classes: []balancer.Class{
			{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.5,
				Idempotency: balancer.Idempotent},
			{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.5,
				Idempotency: balancer.NotIdempotent},
		}}
}

// testList returns a list of the given number of endpoints, named a, b and so on.
func testList(endpoints int) *discovery.List {
	list := &discovery.List{Index: 1, Snapshot: true}
	for i := range endpoints {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: string(rune('a' + i)), Address: "127.0.0.1:1",
			Zone: "z", Status: discovery.Serving})
	}
	return list
}

// upstreamFunc implements Upstream with a function.
type upstreamFunc func(ctx context.Context, endpoint string, call Call) balancer.Status

func (f upstreamFunc) Attempt(ctx context.Context, endpoint string, call Call) balancer.Status {
	return f(ctx, endpoint, call)
}

// hang is an upstreamFunc that never answers and blocks until the context ends.
func hang(ctx context.Context, _ string, _ Call) balancer.Status {
	<-ctx.Done()
	return balancer.Cancelled
}

// start starts a proxy in a synctest bubble. The proxy runs until stop is called.
func start(t *testing.T, cfg Config) (p *Proxy, stop func()) {
	t.Helper()
	cfg.Name, cfg.Zones = "p", []string{"z"}
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { p.Run(ctx) })
	return p, func() {
		cancel()
		run.Wait()
	}
}

func TestCallReturnsFinalAnswer(t *testing.T) {
	answers := func(statuses ...balancer.Status) upstreamFunc {
		next := 0
		return func(context.Context, string, Call) balancer.Status {
			next++
			return statuses[next-1]
		}
	}
	for _, test := range []struct {
		name      string
		endpoints int
		upstream  Upstream
		call      Call
		want      Result
	}{
		{"served", 1, answers(balancer.OK), Call{}, Result{Outcome: Served, Attempts: 1}},
		{"served by retry", 2, answers(balancer.ConnectFailed, balancer.OK), Call{}, Result{Outcome: Served, Attempts: 2}},
		{"no endpoint", 0, answers(), Call{}, Result{Outcome: Rejected}},
		{"reset of non-idempotent call", 2, answers(balancer.Reset), Call{Class: nonIdempotentClass}, Result{Attempts: 1}},
		{"unknown class", 1, answers(), Call{Class: 9}, Result{}},
		{"no upstream", 2, nil, Call{Class: nonIdempotentClass}, Result{Outcome: Rejected}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, stop := start(t, Config{Settings: testSettings(), Known: testList(test.endpoints), Upstream: test.upstream, Seed: 1})
				defer stop()
				test.call.ID = "c"
				if got := p.Call(t.Context(), test.call); got != test.want {
					t.Errorf("got %+v, want %+v", got, test.want)
				}
				synctest.Wait()
				if n := len(p.loop.requests) + p.loop.timers.Len(); n != 0 {
					t.Errorf("%d requests and timers remain after the final answer", n)
				}
			})
		})
	}
}

func TestCallToUnresponsiveBackendFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		began := time.Now()
		got := p.Call(t.Context(), Call{ID: "c", Class: nonIdempotentClass, Deadline: began.Add(time.Second)})
		if took := time.Since(began); got != (Result{Attempts: 1}) || took != time.Second {
			t.Errorf("got %+v after %v; want a failure after 1 attempt and 1s", got, took)
		}
	})
}

func TestAttemptHasDeadlineOfCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received Call
		upstream := upstreamFunc(func(ctx context.Context, _ string, call Call) balancer.Status {
			if end, _ := ctx.Deadline(); !end.Equal(call.Deadline) {
				t.Errorf("the deadline of the context is %v, that of the attempt %v", end, call.Deadline)
			}
			received = call
			return balancer.OK
		})
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstream, Seed: 1})
		defer stop()
		given := Call{ID: "c", Class: nonIdempotentClass, Key: "k", Deadline: time.Now().Add(300 * time.Millisecond), Depth: 4}
		p.Call(t.Context(), given)
		if !received.Deadline.Equal(given.Deadline) {
			t.Errorf("the deadline of the attempt is %v, that of the call %v", received.Deadline, given.Deadline)
		}
		if received.Deadline = given.Deadline; received != given {
			t.Errorf("the backend received %+v, the proxy %+v", received, given)
		}
	})
}

func TestCallCancelledEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(2), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if got := p.Call(ctx, Call{ID: "c"}); got != (Result{}) {
			t.Errorf("got %+v", got)
		}
		synctest.Wait()
		if len(p.loop.requests) != 0 {
			t.Error("the attempt of the cancelled call is still in flight")
		}
	})
}

func TestRunEndFailsOpenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() {
				if got := p.Call(t.Context(), Call{ID: fmt.Sprint(i), Class: nonIdempotentClass}); got.Outcome != Failed {
					t.Errorf("call that was open at the end of Run: got %+v, want a failure", got)
				}
			})
		}
		synctest.Wait()
		stop()
		calls.Wait()
		if got := p.Call(t.Context(), Call{ID: "late"}); got != (Result{}) {
			t.Errorf("call after the end of Run: got %+v", got)
		}
	})
}

func TestCallWithDuplicateIDFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		first := make(chan Result, 1)
		go func() { first <- p.Call(t.Context(), Call{ID: "c", Class: nonIdempotentClass}) }()
		synctest.Wait()
		if got := p.Call(t.Context(), Call{ID: "c"}); got != (Result{}) {
			t.Errorf("second call with the same ID: got %+v", got)
		}
		if got := <-first; got.Attempts != 1 {
			t.Errorf("first call: got %+v", got)
		}
	})
}

// generateCalls runs a proxy that generates calls for the given time, and returns the calls that were answered.
func generateCalls(t *testing.T, seed uint64, rate float64, span time.Duration) (calls []Call) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.Tenants = []balancer.Tenant{{QuotaFraction: 3, RateQuota: 1e6}, {QuotaFraction: 1, RateQuota: 1e6}}
		settings.Classes[nonIdempotentClass].Idempotency = balancer.IdempotentWithKey
		upstream := upstreamFunc(func(context.Context, string, Call) balancer.Status {
			time.Sleep(time.Millisecond)
			return balancer.OK
		})
		_, stop := start(t, Config{Settings: settings, Known: testList(8), Upstream: upstream, Seed: seed,
			CallRate: rate, OnResult: func(c Call, r Result) {
				if calls = append(calls, c); r.Outcome != Served {
					t.Errorf("call %s ended as %+v", c.ID, r)
				}
			}})
		time.Sleep(span)
		stop()
	})
	return calls
}

func TestGeneratedCallsFollowSeedAndRate(t *testing.T) {
	const rate, span = 134, 20 * time.Second
	calls := generateCalls(t, 7, rate, span)
	if !slices.Equal(calls, generateCalls(t, 7, rate, span)) {
		t.Error("the same seed gave different calls")
	}
	if slices.Equal(calls, generateCalls(t, 8, rate, span)) {
		t.Error("another seed gave the same calls")
	}
	mean := rate * span.Seconds()
	if off := math.Abs(float64(len(calls)) - mean); off > 4*math.Sqrt(mean) {
		t.Errorf("%d calls, want about %v", len(calls), mean)
	}
	counts, keys := map[[2]int]int{}, map[string]bool{}
	for _, c := range calls {
		counts[[2]int{c.Class, c.Tenant}]++
		if keys[c.Key] = true; (c.Key != "") != (c.Class == nonIdempotentClass) {
			t.Fatalf("call %+v has the wrong key", c)
		}
	}
	for class := range 2 {
		for tenant, share := range []float64{0.75, 0.25} {
			expected := mean / 2 * share
			if n := counts[[2]int{class, tenant}]; math.Abs(float64(n)-expected) > 5*math.Sqrt(expected) {
				t.Errorf("%d calls of class %d, tenant %d; want about %v", n, class, tenant, expected)
			}
		}
	}
	if len(keys) < generatedKeys/2 {
		t.Errorf("only %d different keys", len(keys))
	}
}

func TestNewInvalidConfigGivesError(t *testing.T) {
	valid := Config{Settings: testSettings(), Zones: []string{"z"}}
	for _, test := range []struct {
		name   string
		change func(*Config)
		want   string // substring of the error
	}{
		{"negative rate", func(c *Config) { c.CallRate = -1 }, "CallRate"},
		{"rate not a number", func(c *Config) { c.CallRate = math.NaN() }, "CallRate"},
		{"rate without upstream", func(c *Config) { c.CallRate = 1 }, "Upstream"},
		{"no zones", func(c *Config) { c.Zones = nil }, "Zones"},
		{"no attempts", func(c *Config) { c.Settings.MaxAttempts = 0 }, "MaxAttempts"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := valid
			test.change(&cfg)
			if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %s in it", err, test.want)
			}
		})
	}
	if _, err := New(valid); err != nil {
		t.Error(err)
	}
}
