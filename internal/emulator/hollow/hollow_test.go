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
	safeClass = iota
	unsafeClass
)

func testSettings() balancer.Settings {
	return balancer.Settings{Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartCapacity: 0.2, SlowStartDuration: 20_000_000,
		Classes: []balancer.Class{
			{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.5, Idempotency: balancer.Idempotent},
			{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LateFraction: 0.5, Idempotency: balancer.NotIdempotent},
		}}
}

// testList names servers a, b and so on.
func testList(servers int) *discovery.List {
	list := &discovery.List{Index: 1, Snapshot: true}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: string(rune('a' + i)), Address: "127.0.0.1:1",
			Zone: "z", Status: discovery.Serving})
	}
	return list
}

// upstreamFunc is an Upstream.
type upstreamFunc func(ctx context.Context, server string, call Call) balancer.Status

func (f upstreamFunc) Attempt(ctx context.Context, server string, call Call) balancer.Status {
	return f(ctx, server, call)
}

// hang answers nothing.
func hang(ctx context.Context, _ string, _ Call) balancer.Status {
	<-ctx.Done()
	return balancer.Cancelled
}

// start runs a proxy until the test ends. To be called in a bubble of synctest.
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

func TestCallHasOneFinalAnswer(t *testing.T) {
	answers := func(statuses ...balancer.Status) upstreamFunc {
		next := 0
		return func(context.Context, string, Call) balancer.Status {
			next++
			return statuses[next-1]
		}
	}
	for _, c := range []struct {
		name     string
		servers  int
		upstream Upstream
		call     Call
		want     Result
	}{
		{"served", 1, answers(balancer.OK), Call{}, Result{Outcome: Served, Attempts: 1}},
		{"served by another", 2, answers(balancer.ConnectFailed, balancer.OK), Call{}, Result{Outcome: Served, Attempts: 2}},
		{"no server", 0, answers(), Call{}, Result{Outcome: Refused}},
		{"reset of an unsafe one", 2, answers(balancer.Reset), Call{Class: unsafeClass}, Result{Attempts: 1}},
		{"unknown class", 1, answers(), Call{Class: 9}, Result{}},
		{"no upstream", 2, nil, Call{Class: unsafeClass}, Result{Outcome: Refused}},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, stop := start(t, Config{Settings: testSettings(), Known: testList(c.servers), Upstream: c.upstream, Seed: 1})
			defer stop()
			c.call.ID = "c"
			if got := p.Call(t.Context(), c.call); got != c.want {
				t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
			}
			synctest.Wait()
			if n := len(p.loop.requests) + p.loop.timers.Len(); n != 0 {
				t.Errorf("%s: %d entries are left", c.name, n)
			}
		})
	}
}

func TestSilentServerCostsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		began := time.Now()
		got := p.Call(t.Context(), Call{ID: "c", Class: unsafeClass, Deadline: began.Add(time.Second)})
		if took := time.Since(began); got != (Result{Attempts: 1}) || took != time.Second {
			t.Errorf("%+v after %v", got, took)
		}
	})
}

func TestAttemptKnowsItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen Call
		upstream := upstreamFunc(func(ctx context.Context, _ string, call Call) balancer.Status {
			if end, _ := ctx.Deadline(); !end.Equal(call.Deadline) {
				t.Errorf("the context ends at %v, the attempt at %v", end, call.Deadline)
			}
			seen = call
			return balancer.OK
		})
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstream, Seed: 1})
		defer stop()
		given := Call{ID: "c", Class: unsafeClass, Key: "k", Deadline: time.Now().Add(300 * time.Millisecond), Depth: 4}
		p.Call(t.Context(), given)
		if !seen.Deadline.Equal(given.Deadline) {
			t.Errorf("the attempt ends at %v, the call at %v", seen.Deadline, given.Deadline)
		}
		if seen.Deadline = given.Deadline; seen != given {
			t.Errorf("the backend was given %+v, the proxy %+v", seen, given)
		}
	})
}

func TestCallGivenUpEndsItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(2), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if got := p.Call(ctx, Call{ID: "c"}); got != (Result{}) {
			t.Errorf("%+v", got)
		}
		synctest.Wait()
		if len(p.loop.requests) != 0 {
			t.Error("its attempt is still out")
		}
	})
}

func TestEndOfRunEndsOpenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() {
				if got := p.Call(t.Context(), Call{ID: fmt.Sprint(i), Class: unsafeClass}); got.Outcome != Failed {
					t.Errorf("%+v", got)
				}
			})
		}
		synctest.Wait()
		stop()
		calls.Wait()
		if got := p.Call(t.Context(), Call{ID: "late"}); got != (Result{}) {
			t.Errorf("after the end: %+v", got)
		}
	})
}

func TestSecondCallUnderOneIDFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, Config{Settings: testSettings(), Known: testList(1), Upstream: upstreamFunc(hang), Seed: 1})
		defer stop()
		first := make(chan Result, 1)
		go func() { first <- p.Call(t.Context(), Call{ID: "c", Class: unsafeClass}) }()
		synctest.Wait()
		if got := p.Call(t.Context(), Call{ID: "c"}); got != (Result{}) {
			t.Errorf("the second: %+v", got)
		}
		if got := <-first; got.Attempts != 1 {
			t.Errorf("the first: %+v", got)
		}
	})
}

// drawn runs a proxy that draws calls for a while and gives those that were answered, and their results.
func drawn(t *testing.T, seed uint64, rate float64, span time.Duration) (calls []Call) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.Tenants = []balancer.Tenant{{QuotaFraction: 3, RateQuota: 1e6}, {QuotaFraction: 1, RateQuota: 1e6}}
		settings.Classes[unsafeClass].Idempotency = balancer.IdempotentWithKey
		upstream := upstreamFunc(func(context.Context, string, Call) balancer.Status {
			time.Sleep(time.Millisecond)
			return balancer.OK
		})
		_, stop := start(t, Config{Settings: settings, Known: testList(8), Upstream: upstream, Seed: seed,
			CallsPerSecond: rate, Answered: func(c Call, r Result) {
				if calls = append(calls, c); r.Outcome != Served {
					t.Errorf("call %s ended as %+v", c.ID, r)
				}
			}})
		time.Sleep(span)
		stop()
	})
	return calls
}

func TestDrawnCallsFollowTheSeedAndTheRate(t *testing.T) {
	const rate, span = 134, 20 * time.Second
	calls := drawn(t, 7, rate, span)
	if !slices.Equal(calls, drawn(t, 7, rate, span)) {
		t.Error("the same seed drew other calls")
	}
	if slices.Equal(calls, drawn(t, 8, rate, span)) {
		t.Error("another seed drew the same calls")
	}
	mean := rate * span.Seconds()
	if off := math.Abs(float64(len(calls)) - mean); off > 4*math.Sqrt(mean) {
		t.Errorf("%d calls, about %v are due", len(calls), mean)
	}
	counts, keys := map[[2]int]int{}, map[string]bool{}
	for _, c := range calls {
		counts[[2]int{c.Class, c.Tenant}]++
		if keys[c.Key] = true; (c.Key != "") != (c.Class == unsafeClass) {
			t.Fatalf("call %+v has the wrong key", c)
		}
	}
	for class := range 2 {
		for tenant, portion := range []float64{0.75, 0.25} {
			due := mean / 2 * portion
			if n := counts[[2]int{class, tenant}]; math.Abs(float64(n)-due) > 5*math.Sqrt(due) {
				t.Errorf("%d calls of class %d, tenant %d; about %v are due", n, class, tenant, due)
			}
		}
	}
	if len(keys) < drawnKeys/2 {
		t.Errorf("%d different keys", len(keys))
	}
}

func TestBadConfigIsRefused(t *testing.T) {
	good := Config{Settings: testSettings(), Zones: []string{"z"}}
	for _, c := range []struct {
		change func(*Config)
		want   string
	}{
		{func(c *Config) { c.CallsPerSecond = -1 }, "CallsPerSecond"},
		{func(c *Config) { c.CallsPerSecond = math.NaN() }, "CallsPerSecond"},
		{func(c *Config) { c.CallsPerSecond = 1 }, "Upstream"},
		{func(c *Config) { c.Zones = nil }, "Zones"},
		{func(c *Config) { c.Settings.MaxAttempts = 0 }, "MaxAttempts"},
	} {
		bad := good
		c.change(&bad)
		if _, err := New(bad); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v does not name %s", err, c.want)
		}
	}
	if _, err := New(good); err != nil {
		t.Error(err)
	}
}
