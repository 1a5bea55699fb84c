package latency

import (
	"errors"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

// expectedCalls returns the number of direct calls in the blocks of a stage, which is also that of calls through the
// proxies.
func expectedCalls(env scale.Env, p plan, s stage) int64 {
	total := int64(0)
	for block := range s.blocks {
		random := rand.New(rand.NewPCG(env.Seed, uint64(block)))
		for at := 0.0; ; total++ {
			if at += random.ExpFloat64() / s.rate; at >= p.blockDuration.Seconds() {
				break
			}
		}
	}
	return total
}

func TestMeasureStageCountsEveryCall(t *testing.T) {
	p := smallPlan()
	for _, s := range []stage{{1, 50, 2}, {3, 20, 2}} {
		t.Run(s.name(), func(t *testing.T) {
			env := scaletest.Env(t)
			measured, err := measureStage(t.Context(), env, p, s, nil)
			if err != nil {
				t.Fatal(err)
			}
			want := expectedCalls(env, p, s)
			for path, got := range map[string]*callTimes{"direct": measured.direct, "through": measured.proxied} {
				if n := got.calls.TotalCount() + int64(got.failed); n != want || got.lateness.TotalCount() != want {
					t.Errorf("%s: %d calls counted, %d started, want %d", path, n, got.lateness.TotalCount(), want)
				}
			}
			if !(measured.proxyCores > 0) {
				t.Errorf("the proxies used %v cores", measured.proxyCores)
			}
			if n := env.Budget.Processes(); n != 0 {
				t.Errorf("%d processes are still running", n)
			}
		})
	}
}

func TestProxiedChainCallsPassEveryProxy(t *testing.T) {
	const depth = 3
	b := chainBuilder{env: scaletest.Env(t), depth: depth, listSize: 2}
	c, err := b.buildProxied(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	recorded := newCallTimes()
	l := loadGenerator{env: b.env, stage: stage{depth: depth, rate: 20}, client: c.client, times: recorded}
	if err := l.runBlock(t.Context(), 0, 200*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if len(c.proxies) != depth || len(c.backends) != depth {
		t.Fatalf("got %d proxies, %d backends", len(c.proxies), len(c.backends))
	}
	for i, backend := range c.backends { // the last tier's first
		if backend.Calls() < recorded.calls.TotalCount() || backend.Calls() == 0 {
			t.Errorf("backend %d: received %d calls, but %d were served",
				i, backend.Calls(), recorded.calls.TotalCount())
		}
	}
	for i, proxy := range c.proxies { // the last tier's first
		if usage, err := proxy.Usage(); err != nil || usage.ReadBytes == 0 {
			t.Errorf("proxy %d: got usage %+v, error %v", i, usage, err)
		}
	}
}

func TestRunEndsWithContext(t *testing.T) { scaletest.CheckCancelledRun(t, Experiment, "") }

// fill records 1,000 served calls, the first with duration least and each further one longer by step.
func fill(t *callTimes, least, step time.Duration) {
	start := time.Unix(0, 0)
	for i := range 1000 {
		t.record(start, start, start.Add(least+time.Duration(i)*step), nil)
	}
}

func TestFiguresAddedIsDifferenceOfPercentiles(t *testing.T) {
	m := &measurement{direct: newCallTimes(), proxied: newCallTimes(), proxyCores: 0.5}
	fill(m.direct, time.Millisecond, 0)
	fill(m.proxied, 3*time.Millisecond, time.Microsecond) // 3 to 4 ms
	m.proxied.record(time.Unix(0, 0), time.Unix(0, 0), time.Unix(1, 0), errors.New("not served"))
	figures := figuresOf(stage{depth: 2, rate: 10}, m)
	for _, want := range []scale.Figure{
		{Quantity: "time of a call, direct, median", Value: 1, Samples: 1000},
		{Quantity: "time of a call, through, p99", Value: 3.99, Samples: 1000},
		{Quantity: "added by percentiles, median", Value: 2.5, Samples: 1000},
		{Quantity: "added by percentiles, p99", Value: 2.99, Samples: 1000, Target: scale.Target(2.8)},
		{Quantity: "added by percentiles, p99, for each proxy", Value: 1.495, Samples: 1000},
		{Quantity: "added to the median, p99", Value: 2.99, Samples: 1000, Target: scale.Target(2.8)},
		{Quantity: "calls not served, through", Value: 1},
		{Quantity: "calls not served, direct", Value: 0},
	} {
		at := slices.IndexFunc(figures, func(f scale.Figure) bool { return f.Quantity == want.Quantity })
		if at < 0 {
			t.Errorf("figure not found: %s", want.Quantity)
			continue
		}
		got := figures[at]
		sameTarget := (got.Target == nil) == (want.Target == nil) && (got.Target == nil || *got.Target == *want.Target)
		if math.Abs(got.Value-want.Value) > 0.01 || got.Samples != want.Samples || !sameTarget {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if got := (stage{depth: 13, rate: 10}).extrapolate(m); math.Abs(got.Value-13*2.99) > 0.1 || got.Samples != 1000 {
		t.Errorf("13 proxies: got %+v", got)
	}
	unserved := newCallTimes()
	unserved.record(time.Unix(0, 0), time.Unix(0, 0), time.Unix(1, 0), errLost)
	if err := unserved.checkServed(); !errors.Is(err, errLost) {
		t.Errorf("no served call: got %v", err)
	}
}

var errLost = errors.New("lost")
