package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartModel simulates many replicas that send requests to the same endpoints. Requests arrive at random
// times.
type slowStartModel struct {
	t           *testing.T
	settings    Settings
	replicas    []*Balancer
	hosts       []*recorder
	random      *rand.Rand
	now         Microseconds
	outstanding []outstandingCall         // ordered by endsAt
	sendTimes   map[string][]Microseconds // times of the calls to each endpoint
	requests    int                       // number of the latest request, also used as its ID
	served      int
}

type outstandingCall struct {
	endsAt  Microseconds
	replica int
	id      string
}

const (
	slowStartReplicas  = 30
	slowStartEndpoints = 12
	slowStartWarmRate  = 40.0   // capacity of a warm endpoint, in calls per second
	slowStartLatency   = 40_000 // microseconds
)

func newSlowStartModel(t *testing.T, capacity, overload float64) *slowStartModel {
	t.Helper()
	s := testSettings()
	s.Classes = s.Classes[:1]
	s.Replicas, s.Zones = slowStartReplicas, 1
	s.SlowStartCapacity, s.SlowStartDuration, s.SlowStartOverload = capacity, 24*second, overload
	m := &slowStartModel{t: t, settings: s, random: rand.New(rand.NewPCG(5, 5)), now: testStart,
		sendTimes: map[string][]Microseconds{}}
	for i := range slowStartReplicas {
		s.ReplicaIndex = i
		b, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		m.replicas, m.hosts = append(m.replicas, b), append(m.hosts, &recorder{})
	}
	m.update(FullUpdate, m.endpoints(0))
	return m
}

func (m *slowStartModel) endpoints(startedAt Microseconds) []Endpoint {
	var list []Endpoint
	for i := range slowStartEndpoints {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), State: Ready, Capacity: 1, StartedAt: startedAt})
	}
	return list
}

func (m *slowStartModel) update(kind UpdateKind, endpoints []Endpoint) {
	for i, b := range m.replicas {
		b.UpdateEndpoints(m.now, m.hosts[i], kind, endpoints)
	}
}

// run simulates requests during span, at a rate of load times the capacity of all endpoints when warm.
func (m *slowStartModel) run(load float64, span Microseconds) {
	rate := load * slowStartWarmRate * slowStartEndpoints
	for end := m.now + span; m.now < end; {
		m.now += Microseconds(m.random.ExpFloat64() / rate * float64(second))
		for len(m.outstanding) > 0 && m.outstanding[0].endsAt <= m.now {
			call := m.outstanding[0]
			m.outstanding = m.outstanding[1:]
			succeed(m.replicas[call.replica], m.hosts[call.replica], call.endsAt, call.id, slowStartLatency)
		}
		i := m.random.IntN(slowStartReplicas)
		m.requests++
		id, h := fmt.Sprint(m.requests), m.hosts[i]
		before := len(h.sends)
		if sendRequest(m.replicas[i], h, m.now, id, 0); len(h.sends) > before {
			m.served++
			endpoint := h.sends[before].endpoint
			m.sendTimes[endpoint] = append(m.sendTimes[endpoint], m.now)
			m.outstanding = append(m.outstanding, outstandingCall{m.now + slowStartLatency, i, id})
		}
	}
}

// checkRate checks that an endpoint which started at startedAt got no more calls in any window than it can
// handle.
func (m *slowStartModel) checkRate(id string, startedAt, window Microseconds) {
	m.t.Helper()
	times := m.sendTimes[id]
	for i, from := range times {
		if from < startedAt {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at < from+window {
				n++
			}
		}
		initial := m.settings.SlowStartCapacity
		capacity := min(1, initial+(1-initial)*float64(from-startedAt)/float64(m.settings.SlowStartDuration))
		expected := m.settings.SlowStartOverload * capacity * slowStartWarmRate *
			float64(window) / float64(second)
		if limit := expected + 2*math.Sqrt(expected) + 2; float64(n) > limit {
			m.t.Errorf("%s got %d calls in the window that begins %d ms after its start, want at most %.1f",
				id, n, (from-startedAt)/1000, limit)
			return
		}
	}
}

// resetCounts resets the counters. Later requests are numbered from lastID+1, so that their IDs differ from
// earlier ones.
func (m *slowStartModel) resetCounts(lastID int) { m.requests, m.served = lastID, 0 }

// All endpoints start at the same time, as happens when a zone recovers. Whatever the number of replicas,
// each replica must not exceed its part of the load that endpoints in slow start can handle. It rejects the
// excess requests, but not all requests, and hardly any after slow start.
func TestSlowStartKeepsAllReplicasWithinCapacity(t *testing.T) {
	for _, c := range []struct{ capacity, overload, load float64 }{{0.14, 3, 0.9}, {0.31, 3, 0.9}, {0.14, 4, 1.2}, {0.3, 2, 0.8}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			m := newSlowStartModel(t, c.capacity, c.overload)
			m.run(c.load, 20*second)
			if float64(m.served) < 0.99*float64(m.requests) {
				t.Fatalf("%d of %d requests served while all endpoints were warm", m.served, m.requests)
			}
			startedAt := m.now
			m.update(FullUpdate, m.endpoints(startedAt))
			m.resetCounts(1_000_000)
			m.run(c.load, 3*second)
			for i := range slowStartEndpoints {
				m.checkRate(fmt.Sprintf("s%d", i), startedAt, second)
			}
			// The replicas must serve at least half of the endpoints' capacity at the start of slow start.
			requests := float64(m.requests - 1_000_000)
			if capacity := requests * min(1, c.capacity/c.load); float64(m.served) < capacity/2 {
				t.Errorf("%d of %.0f requests served in slow start, want at least half of the capacity %.0f",
					m.served, requests, capacity)
			}
			m.run(c.load, m.settings.SlowStartDuration)
			m.resetCounts(2_000_000)
			if m.run(c.load, 3*second); float64(m.served) < 0.99*float64(m.requests-2_000_000) {
				t.Errorf("%d of %d requests served after all endpoints were warm again",
					m.served, m.requests-2_000_000)
			}
		})
	}
}

// Operators attach an endpoint at all replicas at the same time. Each replica sends it a first call soon, but
// the replicas take turns.
func TestAttachStaggersFirstCallsOfReplicas(t *testing.T) {
	m := newSlowStartModel(t, 0.14, 3)
	m.run(0.9, 20*second)
	for _, b := range m.replicas {
		b.Detach("s3")
	}
	m.run(0.9, 3*second)
	attachedAt := m.now
	for _, b := range m.replicas {
		b.Attach(attachedAt, "s3")
	}
	m.run(0.9, 4*second)
	m.checkRate("s3", attachedAt, second)
	calls := 0
	for _, at := range m.sendTimes["s3"] {
		if at >= attachedAt && at < attachedAt+2*second {
			calls++
		}
	}
	if calls < 5 {
		t.Errorf("%d calls in the first two seconds after Attach, want at least 5", calls)
	}
}
