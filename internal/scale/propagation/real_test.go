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

// A change is seen once the last proxy of its list has asked from a version that has it.
func TestARealProxyShowsAChangeByItsNextWatch(t *testing.T) {
	at := time.Now()
	r := newRealProxies()
	r.expect("first", "list")
	r.expect("second", "list")
	r.expect("other", "other list")
	number := int64(0)
	accept := func(list string) {
		number++
		if _, err := r.publish(func() (registry.Change, error) {
			return registry.Change{List: list, Number: number, At: at}, nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	seen := func(client string, complete int64, after time.Duration) {
		r.observe(registry.Observation{Client: client, Complete: complete, At: at.Add(after)})
	}
	accept("list")
	accept("unwatched")
	accept("list")
	if r.accepted != 2 || r.allShown() {
		t.Fatalf("%d changes to be seen, all shown: %v", r.accepted, r.allShown())
	}
	seen("first", registry.Unknown, time.Second)
	seen("stranger", 3, time.Second)
	seen("other", 3, time.Second)
	seen("first", 3, 2*time.Second)
	seen("second", 1, 3*time.Second)
	if r.open != 1 || r.times.count() != 1 {
		t.Errorf("%d open, %d seen", r.open, r.times.count())
	}
	seen("second", 3, 4*time.Second)
	if worst := r.times.quantile(1); !r.allShown() || worst < 3.99 || worst > 4.01 {
		t.Errorf("all shown: %v, worst %v s", r.allShown(), worst)
	}
}

// Real proxies see changes beside hollow ones, in both modes.
func TestRealProxiesBesideHollowOnes(t *testing.T) {
	s := smallSize()
	s.calm, s.after = 3*time.Second, time.Second
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
			t.Errorf("%s: no figure of real proxies that have seen all, at %d", j.name(), at)
		}
	}
	if n := env.Budget.Processes(); n != 0 {
		t.Errorf("%d processes are left", n)
	}
}
