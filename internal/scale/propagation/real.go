package propagation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
)

// realProxies are the real proxies that watch lists along with the hollow ones. A real proxy does not report when a
// change is in force, so this is derived from its next watch request, which contains the version of the list that its
// event loop has applied. A proxy has seen a change once it has sent such a request with a version that includes it.
type realProxies struct {
	mu       sync.Mutex
	proxies  map[string]*realProxy // by the client name in their requests
	expected int                   // number of changes of lists that any of the proxies watches
	pending  int                   // number of these changes that some proxies have not seen yet
	times    *latencyHistogram     // from a change's acceptance until the last proxy that watches its list has seen it
	started  []*scale.Proxy
}

// realProxy is the state of one real proxy.
type realProxy struct {
	list   string
	unseen []*unseenChange
}

// unseenChange is an accepted change that some real proxies have not seen yet.
type unseenChange struct {
	number  int64
	at      time.Time
	missing int // number of proxies that have not seen it
}

func newRealProxies() *realProxies {
	return &realProxies{proxies: map[string]*realProxy{}, times: newLatencyHistogram()}
}

// startRealProxies starts the real proxies and distributes them over the zones and the lists in rotation.
func (f *fleet) startRealProxies(ctx context.Context, env scale.Env) error {
	for i := range f.size.realProxies {
		z := zones()[i%len(zones())]
		name := fmt.Sprintf("real-%02d", i)
		list := listName(i % f.size.services)
		address, err := f.registry.Listen(list, registry.Location{Name: name, Zone: z.name, Region: z.region})
		if err != nil {
			return err
		}
		f.real.add(name, list)
		if err := f.real.start(ctx, env, f.realConfig(name, address, i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) realConfig(name, address string, index int) scale.ProxyConfig {
	membership := scale.Pushed
	if f.poll {
		membership = scale.Polled
	}
	settings := scale.DefaultSettings(membership)
	settings.Replicas, settings.ReplicaIndex = f.size.realProxies, index
	settings.Zones, settings.Zone = zoneNames(), index%len(zones())
	// The seed makes the name unique, as several jobs share one folder.
	return scale.ProxyConfig{Name: fmt.Sprintf("%s-%x", name, f.seed), Discovery: address, Seed: f.seed + uint64(index),
		Settings: settings}
}

// add adds a proxy. It is expected to see all changes of its list from now on.
func (r *realProxies) add(name, list string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxies[name] = &realProxy{list: list}
}

func (r *realProxies) start(ctx context.Context, env scale.Env, config scale.ProxyConfig) error {
	proxy, err := scale.StartProxy(ctx, env, config)
	if err != nil {
		return err
	}
	r.started = append(r.started, proxy)
	return nil
}

// publish publishes a change and tracks it. It holds the lock, so that no request is observed between the two steps.
func (r *realProxies) publish(accept func() (registry.Change, error)) (registry.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted, err := accept()
	if err != nil {
		return accepted, err
	}
	c := &unseenChange{number: accepted.Number, at: accepted.At}
	for _, p := range r.proxies {
		if p.list == accepted.List {
			p.unseen = append(p.unseen, c)
			c.missing++
		}
	}
	if c.missing > 0 {
		r.expected++
		r.pending++
	}
	return accepted, nil
}

// observe handles a request to the discovery service. If a real proxy sent it, observe marks the changes that this
// proxy has seen.
func (r *realProxies) observe(o registry.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[o.Client]
	if p == nil {
		return
	}
	for len(p.unseen) > 0 && p.unseen[0].number <= o.CompleteThrough { // unseen is in order of acceptance
		c := p.unseen[0]
		p.unseen = p.unseen[1:]
		if c.missing--; c.missing == 0 {
			r.pending--
			r.times.add(o.At.Sub(c.at))
		}
	}
}

// allSeen reports whether all proxies have seen all changes of their lists.
func (r *realProxies) allSeen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending == 0
}

// stop stops the proxies.
func (r *realProxies) stop() {
	var exits sync.WaitGroup
	for _, p := range r.started {
		exits.Go(p.Kill)
	}
	exits.Wait()
}

// figures returns the figures of the case with the given name, or nil if there was no change of a watched list.
func (r *realProxies) figures(name string) []scale.Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expected == 0 {
		return nil
	}
	b := &figureBuilder{name: name, source: scale.RealProxy}
	b.addLatencies("accepted to seen at the last real proxy, by its next watch", r.times,
		scale.Target(propagationTarget))
	b.add("changes never seen at a real proxy", "changes", float64(r.pending), scale.Target(0), r.expected)
	return b.figures
}
