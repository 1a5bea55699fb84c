package balancer

import "math"

const (
	inFlightExponent  = 8.0  // how steeply a weight falls with the endpoint's calls in flight
	triedWeightFactor = 1e-6 // for endpoints already tried: selected only if no others remain
)

// candidate is an endpoint that takes part in a weighted random selection.
type candidate struct {
	endpoint        *endpoint
	weight          float64
	slowStartFactor float64
}

// picker selects one of its candidates at random, by weight.
type picker struct {
	candidates []candidate // the slice is reused by the next selection
}

// weightTotals are sums of the candidates' weights.
type weightTotals struct {
	all     float64
	warming float64 // endpoints in slow start only
	deficit float64 // how much greater all would be if every candidate were warm
}

// pickEndpoint selects an endpoint for the request's next attempt, or returns nil if there is none. If
// endpoints in slow start would receive more calls than they can take, the excess goes to warm endpoints; if
// there are none, pickEndpoint returns nil.
func (b *Balancer) pickEndpoint(now Microseconds, req *request) *endpoint {
	weight, weightedInFlight := b.gatherCandidates(now, req)
	if weight == 0 {
		return nil
	}
	totals := b.picker.discountInFlight(req.classState, weightedInFlight/weight)
	overload := max(1, slowStartOverloadMargin*b.settings.SlowStartOverload)
	if x := b.random.Float64() * max(totals.all, (totals.all+totals.deficit)/overload); x < totals.all {
		return b.picker.endpointAt(x)
	}
	b.picker.excludeWarming()
	return b.picker.endpointAt(b.random.Float64() * (totals.all - totals.warming))
}

// gatherCandidates makes this replica's subset the candidates. It extends the subset if it has too few warm
// and healthy endpoints, or none that may receive the request. It returns the sum of the candidates' weights,
// and the sum of their weights multiplied by their calls in flight.
func (b *Balancer) gatherCandidates(now Microseconds, req *request) (weight, weightedInFlight float64) {
	p := &b.picker
	p.candidates = p.candidates[:0]
	missing := b.subset.size(now)
	for _, ep := range b.endpoints.ready {
		if missing <= 0 && weight > 0 {
			break
		}
		c := candidate{endpoint: ep, slowStartFactor: b.settings.slowStartFactor(now, ep)}
		missing -= ep.healthFactor(req.classState) * c.slowStartFactor
		if req.mayRetryOn(now, ep) {
			c.weight = b.weight(now, ep, req.classState)
		}
		if req.triedEndpoint(ep) {
			c.weight *= triedWeightFactor
		}
		weight += c.weight
		weightedInFlight += c.weight * float64(ep.inFlight)
		p.candidates = append(p.candidates, c)
	}
	return weight, weightedInFlight
}

// weight returns an endpoint's weight by capacity, health, latency, slow start and zone, without regard to
// its calls in flight.
func (b *Balancer) weight(now Microseconds, ep *endpoint, class *classState) float64 {
	if b.settings.reintroductionDue(now, ep) { // a single call from each replica cannot overload it
		return 1
	}
	health := max(minHealth, ep.healthFactor(class))
	w := health / (ep.relativeLatency * ep.relativeLatency) * b.settings.slowStartFactor(now, ep)
	if b.settings.CapacityHints && ep.Capacity > 0 {
		w *= ep.Capacity
	}
	if ep.Zone != b.settings.Zone {
		w *= b.zones.crossZoneWeight
	}
	return w
}

// discountInFlight reduces each weight according to the endpoint's calls in flight, and sums the weights.
func (p *picker) discountInFlight(class *classState, meanInFlight float64) weightTotals {
	var totals weightTotals
	for i := range p.candidates {
		c := &p.candidates[i]
		c.weight /= math.Pow(1+c.endpoint.effectiveInFlight(class, meanInFlight), inFlightExponent)
		totals.all += c.weight
		if c.slowStartFactor < 1 {
			totals.warming += c.weight
			totals.deficit += c.weight/c.slowStartFactor - c.weight
		}
	}
	return totals
}

// effectiveInFlight returns the number of this replica's calls in flight that an endpoint's weight is based
// on. An endpoint that fails calls immediately has none in flight and would attract all calls while its peers
// are busy. Its number is therefore raised towards the mean, the more so the less healthy it is.
func (ep *endpoint) effectiveInFlight(class *classState, mean float64) float64 {
	return max(float64(ep.inFlight), (1-ep.healthFactor(class))*mean)
}

// excludeWarming sets the weight of endpoints in slow start to 0.
func (p *picker) excludeWarming() {
	for i := range p.candidates {
		c := &p.candidates[i]
		c.weight *= indicator(c.slowStartFactor == 1)
	}
}

// endpointAt returns the first endpoint at which the cumulative weight exceeds x, or nil if all weights are
// 0. If rounding errors leave no such endpoint, it returns the last one with a positive weight.
func (p *picker) endpointAt(x float64) (last *endpoint) {
	for _, c := range p.candidates {
		if c.weight > 0 {
			last = c.endpoint
			if x -= c.weight; x < 0 {
				break
			}
		}
	}
	return last
}
