package propagation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
)

// realProxies are real proxies that watch lists together with the hollow ones. A real proxy does not report when a
// change is in force. Its next watch shows that, as it starts from the version that its event loop has applied.
type realProxies struct {
	mu       sync.Mutex
	proxies  map[string]*realProxy // by the client name of their requests
	expected int                   // number of changes that any of them watches
	pending  int                   // number of changes that some have not shown yet
	times    *latencies            // from a change's acceptance until the last proxy of its list has shown it
	started  []*scale.Proxy
}

// realProxy is the state of one of them.
type realProxy struct {
	list   string
	unseen []*trackedChange
}

// trackedChange is an accepted change that real proxies have to show.
type trackedChange struct {
	number  int64
	at      time.Time
	missing int // number of proxies that have not shown it
}

func newRealProxies() *realProxies {
	return &realProxies{proxies: map[string]*realProxy{}, times: newLatencies()}
}

// startReal starts real proxies in rotating zones and with rotating lists.
func (f *fleet) startReal(ctx context.Context, env scale.Env) error {
	for i := range f.size.realProxies {
		z := zones()[i%len(zones())]
		name := fmt.Sprintf("real-%02d", i)
		list := listName(i % f.size.services)
		address, err := f.service.Listen(list, registry.Location{Name: name, Zone: z.name, Region: z.region})
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

func (f *fleet) realConfig(name, address string, number int) scale.ProxyConfig {
	membership := scale.Pushed
	if f.poll {
		membership = scale.Polled
	}
	settings := scale.DefaultSettings(membership)
	settings.Replicas, settings.ReplicaIndex = f.size.realProxies, number
	settings.Zones, settings.Zone = zoneNames(), number%len(zones())
	// several jobs share one folder
	return scale.ProxyConfig{Name: fmt.Sprintf("%s-%x", name, f.seed), Discovery: address, Seed: f.seed + uint64(number),
		Settings: settings}
}

// add adds a proxy, which has to show all changes of its list from now on.
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

// publish publishes a change and tracks it. The lock keeps observations out until both are done.
func (r *realProxies) publish(accept func() (registry.Change, error)) (registry.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted, err := accept()
	if err != nil {
		return accepted, err
	}
	c := &trackedChange{number: accepted.Number, at: accepted.At}
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

// observe handles the observation of a request to the discovery service.
func (r *realProxies) observe(o registry.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[o.Client]
	if p == nil {
		return
	}
	for len(p.unseen) > 0 && p.unseen[0].number <= o.CompleteThrough { // they are in order
		c := p.unseen[0]
		p.unseen = p.unseen[1:]
		if c.missing--; c.missing == 0 {
			r.pending--
			r.times.add(o.At.Sub(c.at))
		}
	}
}

// allSeen reports whether all changes have been seen.
func (r *realProxies) allSeen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending == 0
}

// stop stops the proxies.
func (r *realProxies) stop() {
	var ends sync.WaitGroup
	for _, p := range r.started {
		ends.Go(p.Kill)
	}
	ends.Wait()
}

// figures returns the figures of one case; none if there was no change to be seen.
func (r *realProxies) figures(name string) []scale.Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expected == 0 {
		return nil
	}
	b := &figureBuilder{name: name, source: scale.RealProxy}
	b.times("accepted to seen at the last real proxy, by its next watch", r.times, scale.Target(propagationTarget))
	b.add("changes never seen at a real proxy", "changes", float64(r.pending), scale.Target(0), r.expected)
	return b.figures
}
