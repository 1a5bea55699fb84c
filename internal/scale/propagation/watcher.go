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

// watcher is one hollow proxy of the fleet. It persists across the proxy's restarts.
type watcher struct {
	location     registry.Location
	zone         int    // index of its zone
	replicaIndex int    // index among the proxies of its service
	list         string // name of the endpoint list that it watches
	address      string // of the discovery service
	dial         discovery.Dialer
	seed         uint64
	traffic      atomic.Int64 // bytes on its connections to discovery, in both directions

	cancel context.CancelFunc
	ended  chan struct{} // closed when the proxy has stopped

	// The fields below are guarded by tracker.mu.
	registered bool                          // the tracker has it among its watchers
	entries    map[string]discovery.Endpoint // the list that its balancer has applied; nil if there is none
	version    int64
	pending    []*change // changes that it has not applied yet
	startedAt  time.Time
	awaitsList bool // it has started without a list and has not received one yet
	startTimed bool // its last start is timed
}

// apply adds an update, which the proxy's balancer has applied, to the watcher's copy of the list.
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

// lastList returns the list that the proxy had last, or nil if it has never had one.
func (w *watcher) lastList() *discovery.List {
	if w.entries == nil {
		return nil
	}
	endpoints := slices.SortedFunc(maps.Values(w.entries),
		func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return &discovery.List{Index: w.version, Snapshot: true, Endpoints: endpoints}
}

// startProxy starts a hollow proxy with the last list. The watcher must not have a running proxy.
func (w *watcher) startProxy(ctx context.Context, poll bool, applied func(*discovery.List, time.Time)) error {
	w.seed++
	proxy, err := hollow.New(hollow.Config{
		Name:          w.location.Name,
		Settings:      w.settings(poll),
		Zones:         zoneNames(),
		Seed:          w.seed,
		Discovery:     discovery.Options{Address: w.address, Dial: w.dial},
		Known:         w.lastList(),
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

// stop stops the watcher's proxy if it is running, and waits until it has stopped.
func (w *watcher) stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.ended
	w.cancel = nil
}

// settings returns the settings of the proxy. Most have no effect, as there are no calls.
func (w *watcher) settings(poll bool) balancer.Settings {
	const millisecond, second = 1000, 1_000_000 // in microseconds
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
