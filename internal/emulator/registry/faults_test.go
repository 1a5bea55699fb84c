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

// updateDeadline is the time within which every client that can reach the service gets a change.
const updateDeadline = 6 * time.Second

// watchEverywhere starts a watcher for each location of clientsOfAllZones.
func watchEverywhere(t *testing.T, s *Service) []*watcher {
	t.Helper()
	var watchers []*watcher
	for _, location := range clientsOfAllZones() {
		watchers = append(watchers, watch(t, s, testList, location))
		synctest.Wait() // so that they connect in this order
	}
	return watchers
}

// loads returns the number of connections or attached agents of each replica.
func loads(s *Service) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, r := range s.replicas {
		out = append(out, r.load)
	}
	return out
}

// Clients prefer replicas in their zone, then in their region, then any other, and use the least loaded of those.
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
			t.Errorf("loads with one more client: %v", got)
		}
		watch(t, s, testList, Location{Name: "second-in-d", Zone: "d", Region: "west"})
		watch(t, s, testList, Location{Name: "third-in-d", Zone: "d", Region: "west"})
		synctest.Wait()
		if got := loads(s); !slices.Equal(got, []int{2, 2, 3, 1}) {
			t.Errorf("loads with two more clients in zone d: %v", got)
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

// Clients of a killed replica also get a change that is published right after the kill.
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

// The restarted replica has the changes before it serves its first request.
func TestRestartedReplicaHasChangesOfPeers(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		must(t, s.Kill("r1"))
		publish(t, s, "west", serving("s-1"))
		advance(replicationDelay + epsilon)
		must(t, s.Restart("r1"))
		if l := newTestClient(s.Dialer(testList, eastClient)).mustGet(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("the restarted replica responds with %s", toJSON(t, l))
		}
		if got := s.Usage()[0].Requests; got != 1 {
			t.Errorf("the restarted replica has served %d requests, want 1", got)
		}
	})
}

// A replica gets changes from its peer when it restarts, and then receives them again by replication. The second delivery
// must not restore the deleted endpoint.
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
		advance(replicationDelay + epsilon)
		for _, r := range s.replicas {
			if got := r.list(testList).records; len(got) != 1 {
				t.Errorf("replica %s has %v, want one record", r.Name, got)
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
			_, _, err := c.get(ctx, discovery.ListPath+watchQuery(version, time.Second))
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
				t.Errorf("watcher %d did not get the change within the deadline", i)
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

func TestSilenceWatchesDoesNotAffectIdleConnections(t *testing.T) {
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
		if status, _, err := c.get(ctx, discovery.ListPath); status != http.StatusOK {
			t.Errorf("status %d, error %v", status, err)
		}
		if n := len(s.conns); n != 1 {
			t.Errorf("%d connections, want 1", n)
		}
	})
}

// Until an isolated zone is healed, no change from other zones reaches its clients or its replica.
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
			t.Error("the client in the zone did not get the change after the heal")
		}
	})
}

// A connection opened while the zone is isolated is silent until the zone is healed.
func TestConnectionFromCutZoneIsResetAfterHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, testConfig(true))
		s.CutZone("a")
		s.CutZone("b")
		ended := make(chan error, 1)
		go func() {
			_, _, err := newTestClient(s.Dialer(testList, eastClient)).get(t.Context(), discovery.ListPath)
			ended <- err
		}()
		advance(time.Hour)
		s.HealZone("b")
		advance(time.Hour)
		select {
		case err := <-ended:
			t.Fatalf("the request ended while the zone was isolated, with error %v", err)
		default:
		}
		s.HealZone("a")
		if err := <-ended; err == nil {
			t.Error("got a response after the heal, want an error")
		}
	})
}

// During the partition, each region has only its own changes. Afterwards, both regions have all changes, and the later
// of two changes of the same endpoint.
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

// After the restart, the agent responds only to watches whose hold time has not expired.
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
		s.RejectRequests(1) // an agent that cannot reach a replica rejects nothing
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		for name := range outcomes {
			done := make(chan outcome, 1)
			outcomes[name] = done
			go func() {
				_, l, err := c.get(ctx, discovery.ListPath+queries[name])
				done <- outcome{l, err, time.Now()}
			}()
		}
		advance(10 * time.Second)
		must(t, s.Restart("r1"))
		restarted := time.Now()
		if got := <-outcomes["long"]; got.err != nil || got.at != restarted || !got.list.Snapshot {
			t.Errorf("the long watch ended with error %v, %v after the restart", got.err, got.at.Sub(restarted))
		}
		for _, name := range []string{"snapshot", "short"} {
			if got := <-outcomes[name]; !errors.Is(got.err, context.DeadlineExceeded) {
				t.Errorf("the %s request ended with %v", name, got.err)
			}
		}
	})
}

// The zone is isolated and healed within the hold time of a watch.
func TestAgentKeepsHoldTimeAfterShortZoneCut(t *testing.T) {
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
		if _, _, err := c.get(t.Context(), discovery.ListPath); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got error %v, want connection refused", err)
		}
		must(t, s.Restart("r1"))
		if status, _, err := c.get(t.Context(), discovery.ListPath); status != http.StatusOK {
			t.Errorf("after the restart: status %d, error %v", status, err)
		}
	})
}

// When the replica is killed, it is the only one that has the change, because the regions were partitioned.
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
			t.Errorf("the other replica has %s before the restart", toJSON(t, l))
		}
		must(t, s.Restart("r1"))
		advance(replicationDelay + epsilon)
		if l := c.mustGet(t, ""); len(l.Endpoints) != 1 {
			t.Errorf("the other replica has %s after the restart", toJSON(t, l))
		}
	})
}

// Once all faults have ended, the list of every client and replica reflects all accepted changes.
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
	want := endpointSet{}
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
		time.Sleep(time.Duration(random.Int64N(int64(2 * replicationDelay))))
	}
	healAll(s)
	advance(2 * updateDeadline)
	for i, w := range watchers {
		if got := w.snapshot(); !maps.Equal(got, want) {
			t.Errorf("seed %d: watcher %d has\n%v, want\n%v", seed, i, got, want)
		}
	}
	for _, r := range s.replicas {
		if l := r.list(testList); len(l.records) != len(want) || l.completeThrough() != s.lastChange {
			t.Errorf("seed %d: %s has %d records, complete through change %d of %d",
				seed, r.Name, len(l.records), l.completeThrough(), s.lastChange)
		}
	}
}

// injectRandomFault starts or ends a random fault, or does nothing.
func injectRandomFault(s *Service, random *rand.Rand) {
	replica := s.replicas[random.IntN(len(s.replicas))].Name
	zone := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
	switch random.IntN(16) {
	case 0:
		_ = s.Kill(replica) // fails if it is already down
	case 1, 2:
		_ = s.Restart(replica) // fails if it is live
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
		_ = s.Restart(r.Name) // fails if it is live
	}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		s.HealZone(zone)
	}
	s.HealRegions()
	s.RejectRequests(0)
	s.DelayRequests(0)
}
