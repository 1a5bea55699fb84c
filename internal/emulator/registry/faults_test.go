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

// updateDeadline is the time within which every client that the service reaches gets a change.
const updateDeadline = 6 * time.Second

func watchEverywhere(t *testing.T, s *Service) []*watcher {
	t.Helper()
	var watchers []*watcher
	for _, at := range clientsOfAllZones() {
		watchers = append(watchers, watch(t, s, testList, at))
		synctest.Wait() // so that they connect in this order
	}
	return watchers
}

// loads returns the number of connections, or of agents, at each replica.
func loads(s *Service) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, r := range s.replicas {
		out = append(out, r.load)
	}
	return out
}

// Nearest is a replica of their zone, else of their region, else any other, and of these the least loaded.
func TestClientsUseNearestReplica(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		watchEverywhere(t, s)
		if got := loads(s); !slices.Equal(got, []int{2, 1, 1, 1}) {
			t.Errorf("loads %v", got)
		}
		watch(t, s, testList, Location{Name: "second-in-c", Zone: "c", Region: "east"})
		synctest.Wait()
		if got := loads(s); !slices.Equal(got, []int{2, 2, 1, 1}) {
			t.Errorf("loads with one more: %v", got)
		}
		watch(t, s, testList, Location{Name: "second-in-d", Zone: "d", Region: "west"})
		watch(t, s, testList, Location{Name: "third-in-d", Zone: "d", Region: "west"})
		synctest.Wait()
		if got := loads(s); !slices.Equal(got, []int{2, 2, 3, 1}) {
			t.Errorf("loads with two more in a zone: %v", got)
		}
		must(t, s.Kill("r1"))
		advance(updateDeadline)
		if got := loads(s); !slices.Equal(got, []int{0, 4, 3, 1}) {
			t.Errorf("loads without r1: %v", got)
		}
		must(t, s.Kill("r2"))
		advance(updateDeadline)
		if got := loads(s); !slices.Equal(got, []int{0, 0, 4, 4}) {
			t.Errorf("loads without r1 and r2: %v", got)
		}
	})
}

// This includes a change that is published right after the kill.
func TestKilledReplicaClientsGetChangesFromOthers(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		watchers := watchEverywhere(t, s)
		publish(t, s, "east", serving("s-1"))
		must(t, s.Kill("r1"))
		publish(t, s, "east", serving("s-2"))
		advance(time.Second)
		must(t, s.Kill("r2"))
		must(t, s.Restart("r1"))
		publish(t, s, "east", serving("s-3"))
		advance(time.Second)
		for i, w := range watchers {
			if !w.has("s-1") || !w.has("s-2") || !w.has("s-3") {
				t.Errorf("watcher %d has %v", i, slices.Sorted(maps.Keys(w.snapshot())))
			}
		}
	})
}

// It has them before it serves its first request.
func TestRestartedReplicaHasChangesOfPeers(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		must(t, s.Kill("r1"))
		publish(t, s, "west", serving("s-1"))
		advance(replication + epsilon)
		must(t, s.Restart("r1"))
		if l := newTestClient(s.Dialer(testList, eastClient)).mustGet(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("it responds %s", toJSON(t, l))
		}
		if got := s.Usage()[0].Requests; got != 1 {
			t.Errorf("it has served %d requests", got)
		}
	})
}

// The replica has the changes from its peer at its restart, and then receives them again.
func TestChangeDeliveredTwiceKeepsDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = config.Replicas[:2]
		s := startService(t, config)
		must(t, s.Kill("r2"))
		publish(t, s, "east", serving("s-1"))
		publish(t, s, "east", serving("s-2"))
		publish(t, s, "east", deleted("s-2"))
		must(t, s.Restart("r2"))
		advance(replication + epsilon)
		for _, r := range s.replicas {
			if got := r.list(testList).records; len(got) != 1 {
				t.Errorf("%s has %v", r.Name, got)
			}
		}
	})
}

func TestKillAndRestartInWrongStateGiveError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, testConfig(true))
		for name, err := range map[string]error{"kill unknown": s.Kill("r9"), "restart unknown": s.Restart("r9"),
			"restart live": s.Restart("r1")} {
			if err == nil {
				t.Errorf("%s: no error", name)
			}
		}
		must(t, s.Kill("r1"))
		if s.Kill("r1") == nil {
			t.Error("kill down: no error")
		}
	})
}

func TestSilencedWatchEndsAtTimeout(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		version := c.mustGet(t, "").Index
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		silent := make(chan error, 1)
		go func() {
			_, _, err := c.get(ctx, discovery.MembersPath+watchQuery(version, time.Second))
			silent <- err
		}()
		watchers := watchEverywhere(t, s)
		s.SilenceWatches()
		publish(t, s, "west", serving("s-1"))
		advance(200 * time.Millisecond)
		for i, w := range watchers {
			if w.has("s-1") {
				t.Errorf("watcher %d got the change", i)
			}
		}
		advance(updateDeadline)
		for i, w := range watchers {
			if !w.has("s-1") {
				t.Errorf("watcher %d did not get the change in the end", i)
			}
		}
		if err := <-silent; !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the silenced watch ended with %v", err)
		}
		if l := c.mustGet(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("a new connection got %s", toJSON(t, l))
		}
	})
}

func TestSilenceWatchesSparesIdleConnections(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		c.transport.DisableKeepAlives = false
		defer c.transport.CloseIdleConnections()
		version := c.mustGet(t, "").Index
		c.mustGet(t, watchQuery(version, time.Second))
		synctest.Wait()
		s.SilenceWatches()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if status, _, err := c.get(ctx, discovery.MembersPath); status != http.StatusOK {
			t.Errorf("status %d, error %v", status, err)
		}
		if n := len(s.conns); n != 1 {
			t.Errorf("%d connections, want 1", n)
		}
	})
}

// No change passes the cut in either direction until it is healed.
func TestCutZoneIsolatesClientsAndReplicas(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		watchers := watchEverywhere(t, s)
		s.CutZone("a")
		publish(t, s, "east", serving("s-1"))
		advance(updateDeadline)
		for i, w := range watchers {
			if inZone := i == 0; w.has("s-1") == inZone {
				t.Errorf("watcher %d has the change: %t", i, w.has("s-1"))
			}
		}
		if got := s.replicas[0].list(testList).records; len(got) != 0 {
			t.Errorf("the replica in the zone has %v", got)
		}
		s.HealZone("a")
		advance(updateDeadline)
		if !watchers[0].has("s-1") {
			t.Error("the zone did not get the change in the end")
		}
	})
}

// Until then it is silent.
func TestConnectionFromCutZoneIsResetAfterHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, testConfig(true))
		s.CutZone("a")
		s.CutZone("b")
		ended := make(chan error, 1)
		go func() {
			_, _, err := newTestClient(s.Dialer(testList, eastClient)).get(t.Context(), discovery.MembersPath)
			ended <- err
		}()
		advance(time.Hour)
		s.HealZone("b")
		advance(time.Hour)
		select {
		case err := <-ended:
			t.Fatalf("ended during the cut with %v", err)
		default:
		}
		s.HealZone("a")
		if err := <-ended; err == nil {
			t.Error("got a response after the cut")
		}
	})
}

// During the partition each region has its own changes; afterwards both have all, and of two changes of one endpoint
// the later.
func TestPartitionedRegionsConvergeAfterHeal(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		watchers := watchEverywhere(t, s)
		publish(t, s, "east", serving("both"), serving("gone"))
		advance(updateDeadline)
		s.CutRegions()
		east, west := serving("both"), serving("both")
		east.Zone, west.Zone = "east", "west"
		publish(t, s, "west", west, serving("s-west"))
		publish(t, s, "east", east, serving("s-east"), deleted("gone"))
		advance(updateDeadline)
		for i, w := range watchers {
			inEast := i < 3
			if w.has("s-east") != inEast || w.has("s-west") == inEast || w.has("gone") == inEast {
				t.Errorf("watcher %d has %v during the partition", i, slices.Sorted(maps.Keys(w.snapshot())))
			}
		}
		s.HealRegions()
		advance(updateDeadline)
		for i, w := range watchers {
			have := w.snapshot()
			if names := slices.Sorted(maps.Keys(have)); !slices.Equal(names, []string{"both", "s-east", "s-west"}) ||
				have["both"].Zone != "east" {
				t.Errorf("watcher %d has %v", i, have)
			}
		}
	})
}

// Afterwards it responds to the watches whose hold time has not expired.
func TestAgentIsSilentWhileServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, oneReplicaConfig(false))
		c := newTestClient(s.Dialer(testList, eastClient))
		version := c.mustGet(t, "").Index
		type outcome struct {
			list *discovery.List
			err  error
			at   time.Time
		}
		outcomes := map[string]chan outcome{"snapshot": nil, "short": nil, "long": nil}
		queries := map[string]string{"snapshot": "", "short": watchQuery(version, 2*time.Second),
			"long": watchQuery(version, 20*time.Second)}
		must(t, s.Kill("r1"))
		s.RejectRequests(1) // a silent agent rejects nothing
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
		advance(10 * time.Second)
		must(t, s.Restart("r1"))
		back := time.Now()
		if got := <-outcomes["long"]; got.err != nil || got.at != back || !got.list.Snapshot {
			t.Errorf("the long watch: %v, %v after the restart", got.err, got.at.Sub(back))
		}
		for _, name := range []string{"snapshot", "short"} {
			if got := <-outcomes[name]; !errors.Is(got.err, context.DeadlineExceeded) {
				t.Errorf("the %s request ended with %v", name, got.err)
			}
		}
	})
}

// The cut begins and ends within the hold time of a watch.
func TestAgentRespondsAsUsualAfterShortCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, oneReplicaConfig(false))
		c := newTestClient(s.Dialer(testList, eastClient))
		version := c.mustGet(t, "").Index
		time.AfterFunc(time.Second, func() { s.CutZone("a") })
		time.AfterFunc(2*time.Second, func() { s.HealZone("a") })
		began := time.Now()
		if l := c.mustGet(t, watchQuery(version, 5*time.Second)); l.Snapshot || time.Since(began) != 5*time.Second {
			t.Errorf("%s after %v", toJSON(t, l), time.Since(began))
		}
	})
}

func TestPolledServiceDownRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, oneReplicaConfig(true))
		c := newTestClient(s.Dialer(testList, eastClient))
		must(t, s.Kill("r1"))
		if _, _, err := c.get(t.Context(), discovery.MembersPath); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error is %v", err)
		}
		must(t, s.Restart("r1"))
		if status, _, err := c.get(t.Context(), discovery.MembersPath); status != http.StatusOK {
			t.Errorf("after the restart: status %d, error %v", status, err)
		}
	})
}

// One replica alone has the change when it is killed.
func TestAcceptedChangeSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		s := startService(t, config)
		s.CutRegions()
		publish(t, s, "east", serving("s-1"))
		must(t, s.Kill("r1"))
		advance(time.Hour)
		s.HealRegions()
		advance(time.Hour)
		c := newTestClient(s.Dialer(testList, Location{Zone: "d", Region: "west"}))
		if l := c.mustGet(t, ""); len(l.Endpoints) != 0 {
			t.Errorf("the other replica has %s", toJSON(t, l))
		}
		must(t, s.Restart("r1"))
		advance(replication + epsilon)
		if l := c.mustGet(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("the other replica has %s after the restart", toJSON(t, l))
		}
	})
}

// Once all faults have ended, every client and replica has the list of all accepted changes.
func TestListsConvergeAfterRandomFaults(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		for seed := range uint64(8) {
			runRandomFaults(t, poll, seed)
		}
	})
}

func runRandomFaults(t *testing.T, poll bool, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	config := testConfig(poll)
	config.LogLimit = 8
	s := startService(t, config)
	watchers := watchEverywhere(t, s)
	want := memberSet{}
	for range 200 {
		injectRandomFault(s, random)
		region := []string{"east", "west"}[random.IntN(2)]
		change := serving("s-" + strconv.Itoa(random.IntN(20)))
		change.SinceMs = random.Int64N(1000)
		if random.IntN(3) == 0 {
			change.Status = discovery.Deleted
		}
		if _, err := s.Publish(testList, region, change); err == nil {
			want.apply(&discovery.List{Endpoints: []discovery.Endpoint{change}})
		} else if !errors.Is(err, ErrNoReplica) {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * replication))))
	}
	healAll(s)
	advance(2 * updateDeadline)
	for i, w := range watchers {
		if got := w.snapshot(); !maps.Equal(got, want) {
			t.Errorf("seed %d: watcher %d has\n%v, want\n%v", seed, i, got, want)
		}
	}
	for _, r := range s.replicas {
		if l := r.list(testList); len(l.records) != len(want) || l.complete() != s.lastChange {
			t.Errorf("seed %d: %s has %d records, complete to %d of %d", seed, r.Name, len(l.records), l.complete(), s.lastChange)
		}
	}
}

// injectRandomFault begins or ends a random fault.
func injectRandomFault(s *Service, random *rand.Rand) {
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
		s.RejectRequests(random.Float64())
	case 10:
		s.DelayRequests(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
	case 11:
		s.RejectRequests(0)
		s.DelayRequests(0)
	}
}

// healAll ends all faults.
func healAll(s *Service) {
	for _, r := range s.replicas {
		_ = s.Restart(r.Name) // most are live
	}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		s.HealZone(zone)
	}
	s.HealRegions()
	s.RejectRequests(0)
	s.DelayRequests(0)
}
