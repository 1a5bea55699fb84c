package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"baylock/internal/timing"
)

// The load model consists of several replicas of the balancer in front of endpoints with one worker and one
// queue each.
const (
	modelReplicas    = 4
	modelEndpoints   = 16
	modelServiceTime = 50_000 // mean of an exponential distribution, in microseconds
	modelNetworkTime = 1_000  // microseconds
	modelMaxBacklog  = second // an endpoint with a longer backlog rejects calls

	modelCapacity = modelEndpoints * float64(second) / modelServiceTime // calls per second
)

// modelFaults configures faults. All fields except slowBacklog are fractions, of attempts or of requests.
type modelFaults struct {
	lateDials   float64      // attempts whose connection is delayed by up to 1.5 s
	resets      float64      // attempts whose connection breaks
	errors      float64      // attempts that fail in a deeper tier
	cancels     float64      // requests that the client cancels after 0.2 s
	slowBacklog Microseconds // endpoints with a longer backlog work at half speed; 0: never
}

// modelEndpoint serves one call at a time.
type modelEndpoint struct{ freeAt Microseconds }

// modelRequest is a request and its progress.
type modelRequest struct {
	id        string
	replica   int
	arrivedAt Microseconds
	attempts  int
	done      bool
}

// loadModel runs the events of the model and counts how requests end.
type loadModel struct {
	random    *rand.Rand
	faults    modelFaults
	now       Microseconds
	events    timing.Queue[func()]
	endpoints map[string]*modelEndpoint
	replicas  []*Balancer
	requests  map[string]*modelRequest
	arrived   int
	inTime    int
	shed      int // rejected without an attempt
	rejected  int // rejected after an attempt
	failed    int
}

// modelHost carries out the decisions of one replica.
type modelHost struct {
	model   *loadModel
	replica int
}

func newLoadModel(t *testing.T, seed uint64, faults modelFaults) *loadModel {
	t.Helper()
	m := &loadModel{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, now: testStart,
		endpoints: map[string]*modelEndpoint{}, requests: map[string]*modelRequest{}}
	s := testSettings()
	s.Classes, s.Zones, s.Replicas, s.MaxRetryAfter = s.Classes[:1], 1, modelReplicas, second
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: modelCapacity}}
	var list []Endpoint
	for i := range modelEndpoints {
		id := fmt.Sprintf("s%d", i)
		m.endpoints[id] = &modelEndpoint{}
		list = append(list, Endpoint{ID: id, State: Ready, Capacity: 1})
	}
	for i := range modelReplicas {
		s.ReplicaIndex = i
		b, err := New(s, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(m.now, modelHost{m, i}, FullUpdate, list)
		m.replicas = append(m.replicas, b)
	}
	return m
}

// schedule calls do after a delay.
func (m *loadModel) schedule(delay Microseconds, do func()) {
	m.events.Add(timing.NewTimer(m.now+delay, do))
}

// run resets the counts and has requests arrive for the given time. load is the rate as a fraction of the
// endpoints' capacity.
func (m *loadModel) run(load float64, span Microseconds) {
	m.arrived, m.inTime, m.shed, m.rejected, m.failed = 0, 0, 0, 0, 0
	end := m.now + span
	next := m.now
	for next < end {
		for e := m.events.TakeDue(next); e != nil; e = m.events.TakeDue(next) {
			m.now = e.Due()
			e.Value()
		}
		m.now = next
		m.arrive()
		next += Microseconds(m.random.ExpFloat64() / (load * modelCapacity) * float64(second))
	}
}

// arrive has a request arrive at a random replica.
func (m *loadModel) arrive() {
	m.arrived++
	req := &modelRequest{id: fmt.Sprint(len(m.requests)), replica: m.random.IntN(modelReplicas), arrivedAt: m.now}
	m.requests[req.id] = req
	h := modelHost{m, req.replica}
	if m.random.Float64() < m.faults.cancels {
		m.schedule(second/5, func() {
			if !req.done {
				req.done = true
				m.replicas[req.replica].CancelRequest(m.now, h, req.id)
			}
		})
	}
	m.replicas[req.replica].HandleRequest(m.now, h, Request{ID: req.id, Deadline: m.now + 1_500_000})
}

func (h modelHost) Send(id, endpoint string, timeout, _ Microseconds) {
	m, req := h.model, h.model.requests[id]
	attempt, sent := req.attempts, m.now
	req.attempts++
	dial := Microseconds(modelNetworkTime)
	if m.random.Float64() < m.faults.lateDials {
		dial += randomDuration(m.random, 1_500_000)
	}
	m.schedule(min(dial, timeout), func() {
		if dial >= timeout {
			h.endAttempt(req, attempt, ConnectFailed, sent)
			return
		}
		status, duration := m.serve(m.endpoints[endpoint])
		if remaining := sent + timeout - m.now; duration > remaining {
			status, duration = TimedOut, remaining
		}
		m.schedule(duration, func() { h.endAttempt(req, attempt, status, sent) })
	})
}

// serve puts a call into an endpoint's queue and returns its status and the time until it ends.
func (m *loadModel) serve(ep *modelEndpoint) (Status, Microseconds) {
	backlog := max(0, ep.freeAt-m.now)
	switch u := m.random.Float64(); {
	case u < m.faults.resets:
		return Reset, modelNetworkTime
	case u < m.faults.resets+m.faults.errors:
		return Error, modelNetworkTime + randomDuration(m.random, modelServiceTime)
	case backlog > modelMaxBacklog:
		return Rejected, modelNetworkTime
	}
	work := Microseconds(m.random.ExpFloat64() * modelServiceTime)
	if m.faults.slowBacklog > 0 && backlog > m.faults.slowBacklog {
		work *= 2
	}
	ep.freeAt = m.now + backlog + work
	return OK, backlog + work + modelNetworkTime
}

// endAttempt reports the end of an attempt to the replica.
func (h modelHost) endAttempt(req *modelRequest, attempt int, status Status, sent Microseconds) {
	m := h.model
	if req.done {
		status = Cancelled
	} else if status == OK {
		req.done = true
		if m.now-req.arrivedAt <= 500_000 {
			m.inTime++
		}
	}
	m.replicas[h.replica].HandleOutcome(m.now, h,
		Outcome{ID: req.id, Attempt: attempt, Status: status, Latency: m.now - sent, RequestDone: req.done})
}

func (h modelHost) Reject(id string, _ Microseconds) {
	req := h.model.requests[id]
	req.done = true
	if req.attempts == 0 {
		h.model.shed++
	} else {
		h.model.rejected++
	}
}

func (h modelHost) Fail(id string) {
	h.model.requests[id].done = true
	h.model.failed++
}

func (h modelHost) SetTimer(delay Microseconds, token string) {
	h.model.schedule(delay, func() { h.model.replicas[h.replica].TimerFired(h.model.now, h, token) })
}

func (h modelHost) Subscribe() {}

func (h modelHost) Log(string) {}

// log logs the counts.
func (m *loadModel) log(t *testing.T) {
	t.Helper()
	t.Logf("%d arrived, %d in time, %d shed, %d rejected, %d failed", m.arrived, m.inTime, m.shed, m.rejected, m.failed)
}

// The load is a tenth of what the endpoints can serve, with late connections, resets, failures of a deeper
// tier and clients that cancel. Hardly any request may be rejected without an attempt.
func TestBalancerShedsLittleUnderFaultsAtLowLoad(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newLoadModel(t, seed, modelFaults{lateDials: 0.3, resets: 0.05, errors: 0.1, cancels: 0.05})
			m.run(0.1, 60*second)
			m.log(t)
			if float64(m.shed) > 0.01*float64(m.arrived) {
				t.Errorf("%d of %d requests shed, want at most 1 %%", m.shed, m.arrived)
			}
		})
	}
}

// At 1.4 times the load that the endpoints can serve, 90% of their capacity must be answered in time on
// average over the seeds, and hardly less with each seed.
func TestBalancerKeepsGoodputUnderOverload(t *testing.T) {
	const seeds, span = 8, 20 * second
	sum := 0.0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newLoadModel(t, seed, modelFaults{})
			m.run(1.4, 10*second)
			m.run(1.4, span)
			m.log(t)
			goodput := float64(m.inTime) / float64(span/second) / modelCapacity
			sum += goodput
			if goodput < 0.85 {
				t.Errorf("goodput %.2f of capacity, want 0.85 or more", goodput)
			}
		})
	}
	if mean := sum / seeds; mean < 0.9 {
		t.Errorf("mean goodput %.2f of capacity, want 0.9 or more", mean)
	}
}

// Endpoints that work at half speed while overloaded must recover within ten seconds after the load has
// fallen.
func TestBalancerRecoversAfterOverload(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newLoadModel(t, seed, modelFaults{slowBacklog: 300_000})
			m.run(1.4, 10*second)
			m.run(0.7, 10*second)
			m.run(0.7, 5*second)
			m.log(t)
			if float64(m.inTime) < 0.95*float64(m.arrived) {
				t.Errorf("%d of %d requests in time, from 10 s after the load fell, want 95 %%",
					m.inTime, m.arrived)
			}
		})
	}
}
