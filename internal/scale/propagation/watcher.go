package propagation

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/emulator/hollow"
	"baylock/internal/emulator/registry"
)

// watcher is one proxy of the fleet, over all its starts.
type watcher struct {
	location registry.Location
	zone     int // the number of its zone
	ordinal  int // its number in its service
	list     string
	address  string
	dial     discovery.Dialer
	seed     uint64
	traffic  atomic.Int64 // bytes on its connections to discovery, both ways

	stopRun context.CancelFunc
	ended   chan struct{} // closed when its run has ended

	// The tracker's.
	joined     bool
	entries    map[string]discovery.Endpoint // the list as its module has it; nil: none
	version    int64
	pending    []*change
	startedAt  time.Time
	awaitsList bool
	timed      bool // its last start is timed
}

// take brings the entries up to date with what the module has taken in.
func (w *watcher) take(list *discovery.List) {
	w.version = list.Index
	if list.Snapshot || w.entries == nil {
		w.entries = make(map[string]discovery.Endpoint, len(list.Endpoints))
	}
	for _, e := range list.Endpoints {
		if e.Status == discovery.Deleted {
			delete(w.entries, e.Name)
		} else {
			w.entries[e.Name] = e
		}
	}
}

// known is the list as the proxy last had it, or nil.
func (w *watcher) known() *discovery.List {
	if w.entries == nil {
		return nil
	}
	endpoints := slices.SortedFunc(maps.Values(w.entries),
		func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return &discovery.List{Index: w.version, Snapshot: true, Endpoints: endpoints}
}

// run starts a proxy for the watcher, which has no other.
func (w *watcher) run(ctx context.Context, ask bool, applied func(*discovery.List, time.Time)) error {
	w.seed++
	proxy, err := hollow.New(hollow.Config{Name: w.location.Name, Settings: w.settings(ask), Zones: zoneNames(),
		Seed: w.seed, Discovery: discovery.Options{Address: w.address, Dial: w.dial}, Known: w.known(), OnListApplied: applied})
	if err != nil {
		return err
	}
	ctx, w.stopRun = context.WithCancel(ctx)
	ended := make(chan struct{})
	w.ended = ended
	go func() {
		defer close(ended)
		proxy.Run(ctx)
	}()
	return nil
}

// stop ends the watcher's proxy, if one runs.
func (w *watcher) stop() {
	if w.stopRun == nil {
		return
	}
	w.stopRun()
	<-w.ended
	w.stopRun = nil
}

// settings are the same for all proxies but for their place. No calls come, so that most do not matter.
func (w *watcher) settings(ask bool) balancer.Settings {
	const millisecond, second = 1000, 1_000_000
	return balancer.Settings{Tier: 1, Replicas: w.ordinal + 1, ReplicaIndex: w.ordinal, Zone: w.zone, Zones: len(zones()),
		Classes:           []balancer.Class{{LatencyObjective: second, Deadline: 2 * second, PriorityWeight: 1}},
		SubscribeRequired: ask, MaxPollInterval: 10 * second, MaxAttempts: 3, DrainGrace: 500 * millisecond,
		SlowStartCapacity: 0.3, SlowStartOverload: 3, SlowStartDuration: 8 * second}
}
