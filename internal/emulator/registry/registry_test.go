package registry

import (
	"testing"
	"testing/synctest"
	"time"
)

// A change is told to every watcher of its list within the replication delay, and to those of no other list.
func TestChangeReachesWatchersOfItsListOnly(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		var watchers, others []*watcher
		for _, at := range oneInEachZone() {
			watchers = append(watchers, watch(t, s, list, at))
			others = append(others, watch(t, s, "search", at))
		}
		after(100 * time.Millisecond)
		before := others[0].count()
		publish(t, s, "east", serving("s-1"))
		after(replication + moment)
		for i, w := range watchers {
			if !w.has("s-1") {
				t.Errorf("watcher %d was not told", i)
			}
		}
		for i, w := range others {
			if n := w.count(); n != before {
				t.Errorf("watcher %d of another list got %d answers", i, n-before)
			}
		}
	})
}

// Only clients of the replica that accepted a change are told before the replication delay.
func TestReplicationTakesItsDelay(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		config := testConfig(ask)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		s := start(t, config)
		near := watch(t, s, list, Location{Name: "near", Zone: "a", Region: "east"})
		far := watch(t, s, list, Location{Name: "far", Zone: "d", Region: "west"})
		synctest.Wait()
		publish(t, s, "east", serving("s-1"))
		after(replication - moment)
		if !near.has("s-1") || far.has("s-1") {
			t.Errorf("before the delay: near told %t, far told %t", near.has("s-1"), far.has("s-1"))
		}
		after(2 * moment)
		if !far.has("s-1") {
			t.Error("far was not told after the delay")
		}
	})
}

// Of two changes of one endpoint that cross on their way, the one accepted later wins everywhere.
func TestChangesThatCross(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		watchers := watchEverywhere(t, s)
		earlier, later := serving("s-1"), serving("s-1")
		earlier.Zone, later.Zone = "earlier", "later"
		publish(t, s, "east", earlier)
		after(replication / 2)
		publish(t, s, "west", later)
		after(replication + moment)
		for i, w := range watchers {
			if zone := w.list()["s-1"].Zone; zone != "later" {
				t.Errorf("watcher %d has the change %q", i, zone)
			}
		}
	})
}
