package propagation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
)

// realProxies are real proxies that watch lists beside the hollow ones. A real proxy does not say when a change is in
// force; its next watch shows it, since it asks from the version that its loop has taken in.
type realProxies struct {
	mu       sync.Mutex
	proxies  map[string]*realProxy // by the name under which they call discovery
	accepted int                   // changes that any of them is to see
	open     int                   // those that not all have shown yet
	times    *latencies            // from a change's acceptance until the last proxy of its list has shown it
	started  []*scale.Proxy
}

// realProxy is what is known of one of them.
type realProxy struct {
	list    string
	pending []*shownChange
}

// shownChange is an accepted change that real proxies are to show.
type shownChange struct {
	number  int64
	at      time.Time
	waiting int // proxies that have not shown it
}

func newRealProxies() *realProxies {
	return &realProxies{proxies: map[string]*realProxy{}, times: newLatencies()}
}

// startReal starts real proxies in zones that take turns, each with a list of its own.
func (f *fleet) startReal(ctx context.Context, env scale.Env) error {
	for i := range f.size.realProxies {
		z := zones()[i%len(zones())]
		name := fmt.Sprintf("real-%02d", i)
		list := listName(i % f.size.services)
		address, err := f.service.Listen(list, registry.Location{Name: name, Zone: z.name, Region: z.region})
		if err != nil {
			return err
		}
		f.real.expect(name, list)
		if err := f.real.start(ctx, env, f.realConfig(name, address, i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) realConfig(name, address string, number int) scale.ProxyConfig {
	membership := scale.Pushed
	if f.ask {
		membership = scale.Polled
	}
	settings := scale.DefaultSettings(membership)
	settings.Replicas, settings.ReplicaIndex = f.size.realProxies, number
	settings.Zones, settings.Zone = zoneNames(), number%len(zones())
	// Several jobs run at once in one folder.
	return scale.ProxyConfig{Name: fmt.Sprintf("%s-%x", name, f.seed), Discovery: address, Seed: f.seed + uint64(number),
		Settings: settings}
}

// expect has a proxy show all changes of a list from now on.
func (r *realProxies) expect(name, list string) {
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

// publish has a change accepted and follows it. What proxies show waits meanwhile.
func (r *realProxies) publish(accept func() (registry.Change, error)) (registry.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted, err := accept()
	if err != nil {
		return accepted, err
	}
	c := &shownChange{number: accepted.Number, at: accepted.At}
	for _, p := range r.proxies {
		if p.list == accepted.List {
			p.pending = append(p.pending, c)
			c.waiting++
		}
	}
	if c.waiting > 0 {
		r.accepted++
		r.open++
	}
	return accepted, nil
}

// observe takes what a call to discovery shows.
func (r *realProxies) observe(o registry.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[o.Client]
	if p == nil {
		return
	}
	for len(p.pending) > 0 && p.pending[0].number <= o.Complete { // they are in order
		c := p.pending[0]
		p.pending = p.pending[1:]
		if c.waiting--; c.waiting == 0 {
			r.open--
			r.times.add(o.At.Sub(c.at))
		}
	}
}

// allShown tells whether no change is on its way.
func (r *realProxies) allShown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open == 0
}

// stop ends the proxies.
func (r *realProxies) stop() {
	var ends sync.WaitGroup
	for _, p := range r.started {
		ends.Go(p.Kill)
	}
	ends.Wait()
}

// figures gives the figures of one case, none if no change was to be seen.
func (r *realProxies) figures(name string) []scale.Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == 0 {
		return nil
	}
	b := &figureBuilder{name: name, source: scale.RealProxy}
	b.times("accepted to seen at the last real proxy, by its next watch", r.times, scale.Target(propagationTarget))
	b.add("changes never seen at a real proxy", "changes", float64(r.open), scale.Target(0), r.accepted)
	return b.figures
}
