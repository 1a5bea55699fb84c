package propagation

import (
	"os"
	"slices"
	"testing"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

func TestRealProxyShowsChangeByNextWatch(t *testing.T) {
	at := time.Now()
	r := newRealProxies()
	r.add("first", "list")
	r.add("second", "list")
	r.add("other", "other list")
	number := int64(0)
	accept := func(list string) {
		t.Helper()
		number++
		if _, err := r.publish(func() (registry.Change, error) {
			return registry.Change{List: list, Number: number, At: at}, nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	seen := func(client string, complete int64, after time.Duration) {
		r.observe(registry.Observation{Client: client, CompleteThrough: complete, At: at.Add(after)})
	}
	accept("list")
	accept("unwatched")
	accept("list")
	if r.expected != 2 || r.allSeen() {
		t.Fatalf("%d changes expected, all seen: %v", r.expected, r.allSeen())
	}
	seen("first", registry.Unknown, time.Second)
	seen("stranger", 3, time.Second)
	seen("other", 3, time.Second)
	seen("first", 3, 2*time.Second)
	seen("second", 1, 3*time.Second)
	if r.pending != 1 || r.times.count() != 1 {
		t.Errorf("%d pending, %d seen", r.pending, r.times.count())
	}
	seen("second", 3, 4*time.Second)
	if worst := r.times.quantile(1); !r.allSeen() || worst < 3.99 || worst > 4.01 {
		t.Errorf("all seen: %v, worst %v s", r.allSeen(), worst)
	}
}

func TestRealProxiesSeeChangesInBothModes(t *testing.T) {
	s := smallSize()
	s.faultFree, s.afterFault = 3*time.Second, time.Second
	env := scaletest.Env(t)
	var jobs []job
	for _, j := range allJobs(testSeed) {
		if j.scenario.name == "calm" {
			jobs = append(jobs, j)
		}
	}
	result, err := runJobs(t.Context(), env, s, jobs)
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range jobs {
		at := slices.IndexFunc(result.Figures, func(f scale.Figure) bool {
			return f.Case == j.name() && f.Source == scale.RealProxy && f.Quantity == "changes never seen at a real proxy"
		})
		if at < 0 || result.Figures[at].Value != 0 || result.Figures[at].Samples == 0 {
			t.Errorf("%s: no figure shows that the real proxies saw all changes; index %d", j.name(), at)
		}
	}
	if n := env.Budget.Processes(); n != 0 {
		t.Errorf("%d processes are still running", n)
	}
}
