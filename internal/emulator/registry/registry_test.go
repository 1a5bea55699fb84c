package registry

import (
	"testing"
	"testing/synctest"
	"time"
)

// The change arrives within the replication delay. Watchers of other lists get no update.
func TestChangeReachesWatchersOfItsListOnly(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		var watchers, others []*watcher
		for _, location := range clientsOfAllZones() {
			watchers = append(watchers, watch(t, s, testList, location))
			others = append(others, watch(t, s, "search", location))
		}
		advance(100 * time.Millisecond)
		before := others[0].updateCount()
		publish(t, s, "east", serving("s-1"))
		advance(replicationDelay + epsilon)
		for i, w := range watchers {
			if !w.has("s-1") {
				t.Errorf("watcher %d did not get the change", i)
			}
		}
		for i, w := range others {
			if n := w.updateCount(); n != before {
				t.Errorf("watcher %d of another list got %d updates", i, n-before)
			}
		}
	})
}

// Clients of the replica that accepted a change get it at once, those of other replicas after the replication delay.
func TestChangeReachesOtherReplicaAfterDelay(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		config := testConfig(poll)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		s := startService(t, config)
		near := watch(t, s, testList, Location{Name: "near", Zone: "a", Region: "east"})
		far := watch(t, s, testList, Location{Name: "far", Zone: "d", Region: "west"})
		synctest.Wait()
		publish(t, s, "east", serving("s-1"))
		advance(replicationDelay - epsilon)
		if !near.has("s-1") || far.has("s-1") {
			t.Errorf("before the replication delay: near has the change: %t, far has the change: %t",
				near.has("s-1"), far.has("s-1"))
		}
		advance(2 * epsilon)
		if !far.has("s-1") {
			t.Error("far did not get the change after the replication delay")
		}
	})
}

// Two replicas accept changes of the same endpoint, the second before it has received the first change.
func TestConcurrentChangesLaterOneWins(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		watchers := watchEverywhere(t, s)
		earlier, later := serving("s-1"), serving("s-1")
		earlier.Zone, later.Zone = "earlier", "later"
		publish(t, s, "east", earlier)
		advance(replicationDelay / 2)
		publish(t, s, "west", later)
		advance(replicationDelay + epsilon)
		for i, w := range watchers {
			if zone := w.snapshot()["s-1"].Zone; zone != "later" {
				t.Errorf("watcher %d has the %q change, want the later one", i, zone)
			}
		}
	})
}
