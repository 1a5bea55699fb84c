package upstream

import "baylock/internal/discovery"

// endpoint is an entry of the endpoint list. Pool.mu guards all fields except name.
type endpoint struct {
	name       string
	address    string
	zone       string
	cell       int     // endpoints of one cell deduplicate each other's retries
	startedMs  int64   // start time of the process, in Unix milliseconds
	serving    bool    // according to the list
	ready      bool    // serving, and not detached by an operator
	generation int     // incremented on each change of the fields above, and on removal
	idle       []*conn // in the order in which they were returned to the pool
}

// Target is one generation of an endpoint, as the destination of an attempt. It is valid until the endpoint changes.
type Target struct {
	pool       *Pool
	endpoint   *endpoint
	address    string
	generation int
}

// Name returns the name of the target's endpoint.
func (t Target) Name() string { return t.endpoint.name }

// Find returns the listed endpoint with the given name if it accepts new requests.
func (p *Pool) Find(name string) (Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[name]
	if e == nil || !e.ready {
		return Target{}, false
	}
	return Target{pool: p, endpoint: e, address: e.address, generation: e.generation}, true
}

// Contains reports whether an endpoint is listed, whether or not it accepts requests.
func (p *Pool) Contains(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[name] != nil
}

// isCurrent reports whether the endpoint is unchanged since Find returned the target.
func (t Target) isCurrent() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.endpoint.generation == t.generation
}

// zone returns the endpoint's current zone.
func (t Target) zone() string {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.endpoint.zone
}

// ApplyEndpoints applies a complete endpoint list or a set of changes to it. It closes the idle connections of each
// endpoint that has changed, because the endpoint may no longer accept requests or another process may now use its
// address.
func (p *Pool) ApplyEndpoints(complete bool, endpoints []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(endpoints))
	for _, update := range endpoints {
		listed[update.Name] = true
		p.applyEndpointLocked(update)
	}
	if !complete {
		return
	}
	for name, e := range p.endpoints {
		if !listed[name] {
			e.ready = false
			p.advanceGenerationLocked(e)
			delete(p.endpoints, name)
		}
	}
}

func (p *Pool) applyEndpointLocked(update discovery.Endpoint) {
	e := p.endpoints[update.Name]
	if e == nil {
		e = &endpoint{name: update.Name}
		p.endpoints[update.Name] = e
	}
	serving := update.Status == discovery.Serving
	if e.address != update.Address || e.startedMs != update.SinceMs || e.serving != serving ||
		e.zone != update.Zone || e.cell != update.Cell {
		e.address, e.startedMs, e.serving = update.Address, update.SinceMs, serving
		e.zone, e.cell = update.Zone, update.Cell
		e.ready = serving && !p.detached[update.Name]
		p.advanceGenerationLocked(e)
	}
	if update.Status == discovery.Deleted {
		delete(p.endpoints, update.Name)
	}
}

// SetDetached detaches an endpoint, so that it gets no new requests, or attaches it again. In both cases it closes the
// endpoint's idle connections, because the endpoint may have been restarted in the meantime. The endpoint need not be
// listed yet.
func (p *Pool) SetDetached(name string, detached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if detached {
		p.detached[name] = true
	} else {
		delete(p.detached, name)
	}
	if e := p.endpoints[name]; e != nil {
		e.ready = e.serving && !detached
		p.advanceGenerationLocked(e)
	}
}

// advanceGenerationLocked invalidates all targets of an endpoint and closes its idle connections.
func (p *Pool) advanceGenerationLocked(e *endpoint) {
	e.generation++
	for _, c := range e.idle {
		p.closeLocked(c)
	}
	e.idle = nil
}
