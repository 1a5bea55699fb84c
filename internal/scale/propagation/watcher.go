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

// watcher is one proxy of the fleet, over all its restarts.
type watcher struct {
	location     registry.Location
	zone         int // index of its zone
	replicaIndex int // among the proxies of its service
	list         string
	address      string
	dial         discovery.Dialer
	seed         uint64
	traffic      atomic.Int64 // bytes on its connections to discovery, in both directions

	cancel context.CancelFunc
	ended  chan struct{} // closed when its run has ended

	// guarded by the tracker's lock
	joined     bool
	entries    map[string]discovery.Endpoint // the list as applied by its balancer; nil: none
	version    int64
	pending    []*change
	startedAt  time.Time
	awaitsList bool
	timed      bool // its last start is timed
}

// apply applies an update that the balancer has applied.
func (w *watcher) apply(list *discovery.List) {
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

// known returns the list as the proxy last had it, or nil.
func (w *watcher) known() *discovery.List {
	if w.entries == nil {
		return nil
	}
	endpoints := slices.SortedFunc(maps.Values(w.entries),
		func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return &discovery.List{Index: w.version, Snapshot: true, Endpoints: endpoints}
}

// run starts a hollow proxy for the watcher, which has none.
func (w *watcher) run(ctx context.Context, poll bool, applied func(*discovery.List, time.Time)) error {
	w.seed++
	proxy, err := hollow.New(hollow.Config{
		Name:          w.location.Name,
		Settings:      w.settings(poll),
		Zones:         zoneNames(),
		Seed:          w.seed,
		Discovery:     discovery.Options{Address: w.address, Dial: w.dial},
		Known:         w.known(),
		OnListApplied: applied,
	})
	if err != nil {
		return err
	}
	ctx, w.cancel = context.WithCancel(ctx)
	ended := make(chan struct{})
	w.ended = ended
	go func() {
		defer close(ended)
		proxy.Run(ctx)
	}()
	return nil
}

// stop stops the watcher's proxy, if it runs.
func (w *watcher) stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.ended
	w.cancel = nil
}

// settings returns the settings of the proxy. Most do not matter, as there are no calls.
func (w *watcher) settings(poll bool) balancer.Settings {
	const millisecond, second = 1000, 1_000_000
	return balancer.Settings{
		Tier:              1,
		Replicas:          w.replicaIndex + 1,
		ReplicaIndex:      w.replicaIndex,
		Zone:              w.zone,
		Zones:             len(zones()),
		Classes:           []balancer.Class{{LatencyObjective: second, Deadline: 2 * second, PriorityWeight: 1}},
		SubscribeRequired: poll,
		MaxPollInterval:   10 * second,
		MaxAttempts:       3,
		DrainGrace:        500 * millisecond,
		SlowStartCapacity: 0.3,
		SlowStartOverload: 3,
		SlowStartDuration: 8 * second,
	}
}
