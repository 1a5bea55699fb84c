package registry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
)

// told is how long after the service has a change every client that it reaches has to have it.
const told = 6 * time.Second

func watchEverywhere(t *testing.T, s *Service) []*watcher {
	t.Helper()
	var watchers []*watcher
	for _, at := range oneInEachZone() {
		watchers = append(watchers, watch(t, s, list, at))
		synctest.Wait() // so that they come in this order
	}
	return watchers
}

// loads gives the number of connections, or of agents, at each replica.
func loads(s *Service) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, r := range s.replicas {
		out = append(out, r.load)
	}
	return out
}

// Clients go to a replica of their zone, then of their region, the less loaded one first, and then to the others.
func TestNearestReplica(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		watchEverywhere(t, s)
		if got := loads(s); !slices.Equal(got, []int{2, 1, 1, 1}) {
			t.Errorf("loads %v", got)
		}
		watch(t, s, list, Location{Name: "second-in-c", Zone: "c", Region: "east"})
		synctest.Wait()
		if got := loads(s); !slices.Equal(got, []int{2, 2, 1, 1}) {
			t.Errorf("loads with one more: %v", got)
		}
		watch(t, s, list, Location{Name: "second-in-d", Zone: "d", Region: "west"})
		watch(t, s, list, Location{Name: "third-in-d", Zone: "d", Region: "west"})
		synctest.Wait()
		if got := loads(s); !slices.Equal(got, []int{2, 2, 3, 1}) {
			t.Errorf("loads with two more in a zone: %v", got)
		}
		do(t, s.Kill("r1"))
		after(told)
		if got := loads(s); !slices.Equal(got, []int{0, 4, 3, 1}) {
			t.Errorf("loads without r1: %v", got)
		}
		do(t, s.Kill("r2"))
		after(told)
		if got := loads(s); !slices.Equal(got, []int{0, 0, 4, 4}) {
			t.Errorf("loads without r1 and r2: %v", got)
		}
	})
}

// A change that comes when a replica has just died reaches the clients that it had.
func TestKilledReplica(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		watchers := watchEverywhere(t, s)
		publish(t, s, "east", serving("s-1"))
		do(t, s.Kill("r1"))
		publish(t, s, "east", serving("s-2"))
		after(time.Second)
		do(t, s.Kill("r2"))
		do(t, s.Restart("r1"))
		publish(t, s, "east", serving("s-3"))
		after(time.Second)
		for i, w := range watchers {
			if !w.has("s-1") || !w.has("s-2") || !w.has("s-3") {
				t.Errorf("watcher %d has %v", i, slices.Sorted(maps.Keys(w.list())))
			}
		}
	})
}

// A replica that starts again has all that its peers have before it answers anyone.
func TestRestartedReplicaHasTheList(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		do(t, s.Kill("r1"))
		publish(t, s, "west", serving("s-1"))
		after(replication + moment)
		do(t, s.Restart("r1"))
		if l := newCaller(s.Dialer(list, inEast)).ask(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("it tells %s", toJSON(t, l))
		}
		if got := s.Usage()[0].Calls; got != 1 {
			t.Errorf("it has answered %d calls", got)
		}
	})
}

// A change that arrives when its replica has it already, from a peer, does not bring back what was deleted since.
func TestChangeThatArrivesTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = config.Replicas[:2]
		s := start(t, config)
		do(t, s.Kill("r2"))
		publish(t, s, "east", serving("s-1"))
		publish(t, s, "east", serving("s-2"))
		publish(t, s, "east", deleted("s-2"))
		do(t, s.Restart("r2"))
		after(replication + moment)
		for _, r := range s.replicas {
			if got := r.list(list).records; len(got) != 1 {
				t.Errorf("%s has %v", r.Name, got)
			}
		}
	})
}

func TestFaultsOfUnknownReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, testConfig(true))
		for name, err := range map[string]error{"kill unknown": s.Kill("r9"), "restart unknown": s.Restart("r9"),
			"restart live": s.Restart("r1")} {
			if err == nil {
				t.Errorf("%s: no error", name)
			}
		}
		do(t, s.Kill("r1"))
		if s.Kill("r1") == nil {
			t.Error("killed twice")
		}
	})
}

// Nothing but its time limit tells a client of a silent watch.
func TestSilentWatches(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		c := newCaller(s.Dialer(list, inEast))
		version := c.ask(t, "").Index
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		silent := make(chan error, 1)
		go func() {
			_, _, err := c.get(ctx, discovery.MembersPath+fromVersion(version, time.Second))
			silent <- err
		}()
		watchers := watchEverywhere(t, s)
		s.SilenceWatches()
		publish(t, s, "west", serving("s-1"))
		after(200 * time.Millisecond)
		for i, w := range watchers {
			if w.has("s-1") {
				t.Errorf("watcher %d was told", i)
			}
		}
		after(told)
		for i, w := range watchers {
			if !w.has("s-1") {
				t.Errorf("watcher %d was not told in the end", i)
			}
		}
		if err := <-silent; !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a silent watch ended with %v", err)
		}
		if l := c.ask(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("a new connection is told %s", toJSON(t, l))
		}
	})
}

// A connection whose watch has been answered is not silenced with those whose watches wait.
func TestSilenceSparesIdleConnections(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
		c.transport.DisableKeepAlives = false
		defer c.transport.CloseIdleConnections()
		version := c.ask(t, "").Index
		c.ask(t, fromVersion(version, time.Second))
		synctest.Wait()
		s.SilenceWatches()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if status, _, err := c.get(ctx, discovery.MembersPath); status != http.StatusOK {
			t.Errorf("status %d, error %v", status, err)
		}
		if n := len(s.conns); n != 1 {
			t.Errorf("%d connections were used", n)
		}
	})
}

// A zone that is cut off hears nothing of the others, nor they of its replica's, until it is healed.
func TestCutZone(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		watchers := watchEverywhere(t, s)
		s.CutZone("a")
		publish(t, s, "east", serving("s-1"))
		after(told)
		for i, w := range watchers {
			if inZone := i == 0; w.has("s-1") == inZone {
				t.Errorf("watcher %d told: %t", i, w.has("s-1"))
			}
		}
		if got := s.replicas[0].list(list).records; len(got) != 0 {
			t.Errorf("the replica in the zone has %v", got)
		}
		s.HealZone("a")
		after(told)
		if !watchers[0].has("s-1") {
			t.Error("the zone was not told in the end")
		}
	})
}

// A connection from a zone that is cut off comes up, stays silent, and is reset once the zone is back.
func TestConnectionFromCutZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, testConfig(true))
		s.CutZone("a")
		s.CutZone("b")
		ended := make(chan error, 1)
		go func() {
			_, _, err := newCaller(s.Dialer(list, inEast)).get(t.Context(), discovery.MembersPath)
			ended <- err
		}()
		after(time.Hour)
		s.HealZone("b")
		after(time.Hour)
		select {
		case err := <-ended:
			t.Fatalf("ended in the cut with %v", err)
		default:
		}
		s.HealZone("a")
		if err := <-ended; err == nil {
			t.Error("answered after the cut")
		}
	})
}

// While the regions are apart each goes on with its own changes; then both have them all, the later one of two that
// concern one endpoint.
func TestRegionsApart(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		watchers := watchEverywhere(t, s)
		publish(t, s, "east", serving("both"), serving("gone"))
		after(told)
		s.CutRegions()
		east, west := serving("both"), serving("both")
		east.Zone, west.Zone = "east", "west"
		publish(t, s, "west", west, serving("s-west"))
		publish(t, s, "east", east, serving("s-east"), deleted("gone"))
		after(told)
		for i, w := range watchers {
			inEast := i < 3
			if w.has("s-east") != inEast || w.has("s-west") == inEast || w.has("gone") == inEast {
				t.Errorf("watcher %d, apart, has %v", i, slices.Sorted(maps.Keys(w.list())))
			}
		}
		s.HealRegions()
		after(told)
		for i, w := range watchers {
			have := w.list()
			if names := slices.Sorted(maps.Keys(have)); !slices.Equal(names, []string{"both", "s-east", "s-west"}) ||
				have["both"].Zone != "east" {
				t.Errorf("watcher %d has %v", i, have)
			}
		}
	})
}

// An agent is silent while the service is down, and then answers the watches whose wait is not over.
func TestAgentWhileServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, oneReplica(false))
		c := newCaller(s.Dialer(list, inEast))
		version := c.ask(t, "").Index
		type outcome struct {
			list *discovery.List
			err  error
			at   time.Time
		}
		outcomes := map[string]chan outcome{"whole": nil, "short": nil, "long": nil}
		queries := map[string]string{"whole": "", "short": fromVersion(version, 2*time.Second),
			"long": fromVersion(version, 20*time.Second)}
		do(t, s.Kill("r1"))
		s.RefuseCalls(1) // and it does not even refuse
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		for name := range outcomes {
			done := make(chan outcome, 1)
			outcomes[name] = done
			go func() {
				_, l, err := c.get(ctx, discovery.MembersPath+queries[name])
				done <- outcome{l, err, time.Now()}
			}()
		}
		after(10 * time.Second)
		do(t, s.Restart("r1"))
		back := time.Now()
		if got := <-outcomes["long"]; got.err != nil || got.at != back || !got.list.Snapshot {
			t.Errorf("the long watch: %v, %v after the restart", got.err, got.at.Sub(back))
		}
		for _, name := range []string{"whole", "short"} {
			if got := <-outcomes[name]; !errors.Is(got.err, context.DeadlineExceeded) {
				t.Errorf("the %s call ended with %v", name, got.err)
			}
		}
	})
}

// An agent whose replica was away for a moment within a watch's wait answers it as usual.
func TestAgentAfterShortCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, oneReplica(false))
		c := newCaller(s.Dialer(list, inEast))
		version := c.ask(t, "").Index
		time.AfterFunc(time.Second, func() { s.CutZone("a") })
		time.AfterFunc(2*time.Second, func() { s.HealZone("a") })
		began := time.Now()
		if l := c.ask(t, fromVersion(version, 5*time.Second)); l.Snapshot || time.Since(began) != 5*time.Second {
			t.Errorf("%s after %v", toJSON(t, l), time.Since(began))
		}
	})
}

// A shared service whose replicas are all down refuses connections.
func TestSharedServiceDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, oneReplica(true))
		c := newCaller(s.Dialer(list, inEast))
		do(t, s.Kill("r1"))
		if _, _, err := c.get(t.Context(), discovery.MembersPath); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error is %v", err)
		}
		do(t, s.Restart("r1"))
		if status, _, err := c.get(t.Context(), discovery.MembersPath); status != http.StatusOK {
			t.Errorf("after the restart: status %d, error %v", status, err)
		}
	})
}

// What one replica alone had accepted outlives its end.
func TestAcceptedChangeOutlivesItsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		s := start(t, config)
		s.CutRegions()
		publish(t, s, "east", serving("s-1"))
		do(t, s.Kill("r1"))
		after(time.Hour)
		s.HealRegions()
		after(time.Hour)
		c := newCaller(s.Dialer(list, Location{Zone: "d", Region: "west"}))
		if l := c.ask(t, ""); len(l.Endpoints) != 0 {
			t.Errorf("the other replica has %s", toJSON(t, l))
		}
		do(t, s.Restart("r1"))
		after(replication + moment)
		if l := c.ask(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("the other replica has %s after the restart", toJSON(t, l))
		}
	})
}

// Whatever fails, once all is well again every client has put together the list that the accepted changes make.
func TestListsConvergeAfterRandomFaults(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		for seed := range uint64(8) {
			runRandomFaults(t, ask, seed)
		}
	})
}

func runRandomFaults(t *testing.T, ask bool, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	config := testConfig(ask)
	config.LogLimit = 8
	s := start(t, config)
	watchers := watchEverywhere(t, s)
	want := members{}
	for range 200 {
		strike(s, random)
		region := []string{"east", "west"}[random.IntN(2)]
		change := serving("s-" + strconv.Itoa(random.IntN(20)))
		change.SinceMs = random.Int64N(1000)
		if random.IntN(3) == 0 {
			change.Status = discovery.Deleted
		}
		if _, err := s.Publish(list, region, change); err == nil {
			want.take(&discovery.List{Endpoints: []discovery.Endpoint{change}})
		} else if !errors.Is(err, ErrNoReplica) {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * replication))))
	}
	mend(s)
	after(2 * told)
	for i, w := range watchers {
		if got := w.list(); !maps.Equal(got, want) {
			t.Errorf("seed %d: watcher %d has\n%v, want\n%v", seed, i, got, want)
		}
	}
	for _, r := range s.replicas {
		if l := r.list(list); len(l.records) != len(want) || l.complete() != s.number {
			t.Errorf("seed %d: %s has %d records, complete to %d of %d", seed, r.Name, len(l.records), l.complete(), s.number)
		}
	}
}

// strike draws a fault, or the end of one.
func strike(s *Service, random *rand.Rand) {
	replica := s.replicas[random.IntN(len(s.replicas))].Name
	zone := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
	switch random.IntN(16) {
	case 0:
		_ = s.Kill(replica) // it may be down
	case 1, 2:
		_ = s.Restart(replica) // it may be live
	case 3:
		s.CutZone(zone)
	case 4, 5:
		s.HealZone(zone)
	case 6:
		s.CutRegions()
	case 7:
		s.HealRegions()
	case 8:
		s.SilenceWatches()
	case 9:
		s.RefuseCalls(random.Float64())
	case 10:
		s.DelayCalls(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
	case 11:
		s.RefuseCalls(0)
		s.DelayCalls(0)
	}
}

func mend(s *Service) {
	for _, r := range s.replicas {
		_ = s.Restart(r.Name) // most are live
	}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		s.HealZone(zone)
	}
	s.HealRegions()
	s.RefuseCalls(0)
	s.DelayCalls(0)
}
