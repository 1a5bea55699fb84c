package balancer

import "math"

const (
	inFlightExponent = 8.0  // how sharply a weight falls with the endpoint's calls in flight
	triedWeight      = 1e-6 // factor for an endpoint that the request has tried, for when there is no other
)

// candidate is an endpoint that takes part in a draw.
type candidate struct {
	endpoint        *endpoint
	weight          float64
	slowStartFactor float64
}

// picker holds the candidates of a weighted random draw.
type picker struct {
	candidates []candidate // reused by the next draw
}

// drawTotals are sums of the candidates' weights.
type drawTotals struct {
	all     float64
	warming float64 // of endpoints in slow start
	deficit float64 // by so much all would be greater if all were warm
}

// pickEndpoint draws an endpoint for the request's next attempt, or returns nil if there is none. Where
// endpoints in slow start would get more than they bear, the draw goes to the warm ones, or to none.
func (b *Balancer) pickEndpoint(now Microseconds, req *request) *endpoint {
	weight, weightedInFlight := b.gatherCandidates(now, req)
	if weight == 0 {
		return nil
	}
	totals := b.picker.discountInFlight(req.classState, weightedInFlight/weight)
	overload := max(1, slowStartOverloadMargin*b.settings.SlowStartOverload)
	if x := b.random.Float64() * max(totals.all, (totals.all+totals.deficit)/overload); x < totals.all {
		return b.picker.at(x)
	}
	b.picker.excludeWarming()
	return b.picker.at(b.random.Float64() * (totals.all - totals.warming))
}

// gatherCandidates gathers this replica's subset. The subset grows where it has too few warm and healthy
// endpoints, or none that the request may go to. It returns the sum of the weights, and that of the weights
// times calls in flight.
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
			c.weight *= triedWeight
		}
		weight += c.weight
		weightedInFlight += c.weight * float64(ep.inFlight)
		p.candidates = append(p.candidates, c)
	}
	return weight, weightedInFlight
}

// weight is an endpoint's weight by capacity, health, latency, age and zone, before its calls in flight
// count.
func (b *Balancer) weight(now Microseconds, ep *endpoint, class *classState) float64 {
	if b.settings.reintroductionDue(now, ep) { // one call of each replica is no burden
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

// discountInFlight divides the weights by what the endpoints have in flight, and sums them up.
func (p *picker) discountInFlight(class *classState, meanInFlight float64) drawTotals {
	var totals drawTotals
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

// effectiveInFlight is how many calls of this replica an endpoint counts as having in flight. One that fails
// at once has none, and would draw all calls while its peers are busy: the less healthy an endpoint is, the
// nearer it counts to the mean.
func (ep *endpoint) effectiveInFlight(class *classState, mean float64) float64 {
	return max(float64(ep.inFlight), (1-ep.healthFactor(class))*mean)
}

// excludeWarming takes the endpoints in slow start out of the draw.
func (p *picker) excludeWarming() {
	for i := range p.candidates {
		c := &p.candidates[i]
		c.weight *= indicator(c.slowStartFactor == 1)
	}
}

// at returns the endpoint at which the running sum of weights passes x, or nil if none has weight.
func (p *picker) at(x float64) (last *endpoint) {
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
