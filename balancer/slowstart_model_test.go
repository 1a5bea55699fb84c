package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartModel is many replicas before the same endpoints, with requests that arrive at random.
type slowStartModel struct {
	t           *testing.T
	settings    Settings
	replicas    []*Balancer
	hosts       []*recorder
	random      *rand.Rand
	now         Microseconds
	outstanding []outstandingCall         // in the order of their ends
	sendTimes   map[string][]Microseconds // when each endpoint got a call
	requests    int                       // numbers the requests
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
	slowStartWarmRate  = 40.0   // capacity of a warm endpoint, in calls a second
	slowStartLatency   = 40_000 // microseconds
)

func newSlowStartModel(t *testing.T, capacity, overload float64) *slowStartModel {
	t.Helper()
	s := testSettings()
	s.Classes = s.Classes[:1]
	s.Replicas, s.Zones = slowStartReplicas, 1
	s.SlowStartCapacity, s.SlowStartDuration, s.SlowStartOverload = capacity, 24*second, overload
	f := &slowStartModel{t: t, settings: s, random: rand.New(rand.NewPCG(5, 5)), now: testStart,
		sendTimes: map[string][]Microseconds{}}
	for i := range slowStartReplicas {
		s.ReplicaIndex = i
		b, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.replicas, f.hosts = append(f.replicas, b), append(f.hosts, &recorder{})
	}
	f.update(FullUpdate, f.endpoints(0))
	return f
}

func (f *slowStartModel) endpoints(startedAt Microseconds) []Endpoint {
	var list []Endpoint
	for i := range slowStartEndpoints {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), State: Ready, Capacity: 1, StartedAt: startedAt})
	}
	return list
}

func (f *slowStartModel) update(kind UpdateKind, endpoints []Endpoint) {
	for i, b := range f.replicas {
		b.UpdateEndpoints(f.now, f.hosts[i], kind, endpoints)
	}
}

// run has requests arrive for a time, at a part of the endpoints' warm capacity.
func (f *slowStartModel) run(load float64, span Microseconds) {
	rate := load * slowStartWarmRate * slowStartEndpoints
	for end := f.now + span; f.now < end; {
		f.now += Microseconds(f.random.ExpFloat64() / rate * float64(second))
		for len(f.outstanding) > 0 && f.outstanding[0].endsAt <= f.now {
			call := f.outstanding[0]
			f.outstanding = f.outstanding[1:]
			succeed(f.replicas[call.replica], f.hosts[call.replica], call.endsAt, call.id, slowStartLatency)
		}
		i := f.random.IntN(slowStartReplicas)
		f.requests++
		id, h := fmt.Sprint(f.requests), f.hosts[i]
		before := len(h.sends)
		if sendRequest(f.replicas[i], h, f.now, id, 0); len(h.sends) > before {
			f.served++
			endpoint := h.sends[before].endpoint
			f.sendTimes[endpoint] = append(f.sendTimes[endpoint], f.now)
			f.outstanding = append(f.outstanding, outstandingCall{f.now + slowStartLatency, i, id})
		}
	}
}

// checkRate checks that an endpoint which started at startedAt got no more in any window than it bears.
func (f *slowStartModel) checkRate(id string, startedAt, window Microseconds) {
	f.t.Helper()
	times := f.sendTimes[id]
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
		least := f.settings.SlowStartCapacity
		capacity := min(1, least+(1-least)*float64(from-startedAt)/float64(f.settings.SlowStartDuration))
		bears := f.settings.SlowStartOverload * capacity * slowStartWarmRate * float64(window) / float64(second)
		if most := bears + 2*math.Sqrt(bears) + 2; float64(n) > most {
			f.t.Errorf("%s got %d calls in the window from %d ms after its start, it bears %.1f", id, n, (from-startedAt)/1000, most)
			return
		}
	}
}

// restartCount starts to count requests anew, with other IDs than before.
func (f *slowStartModel) restartCount(firstID int) { f.requests, f.served = firstID, 0 }

// All endpoints start at once, as those of a zone do that returns. However many replicas there are, each keeps to its
// part of what endpoints in slow start bear, and rather rejects requests; not all of them, nor for longer than slow
// start.
func TestSlowStartKeepsAllReplicasWithinCapacity(t *testing.T) {
	for _, c := range []struct{ capacity, overload, load float64 }{{0.14, 3, 0.9}, {0.31, 3, 0.9}, {0.14, 4, 1.2}, {0.3, 2, 0.8}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newSlowStartModel(t, c.capacity, c.overload)
			f.run(c.load, 20*second)
			if float64(f.served) < 0.99*float64(f.requests) {
				t.Fatalf("%d of %d served while all endpoints were warm", f.served, f.requests)
			}
			startedAt := f.now
			f.update(FullUpdate, f.endpoints(startedAt))
			f.restartCount(1_000_000)
			f.run(c.load, 3*second)
			for i := range slowStartEndpoints {
				f.checkRate(fmt.Sprintf("s%d", i), startedAt, second)
			}
			// At least half of what the endpoints can serve when slow start begins is served.
			requests := float64(f.requests - 1_000_000)
			if capacity := requests * min(1, c.capacity/c.load); float64(f.served) < capacity/2 {
				t.Errorf("%d of %.0f served in slow start, the endpoints could serve %.0f", f.served, requests, capacity)
			}
			f.run(c.load, f.settings.SlowStartDuration)
			f.restartCount(2_000_000)
			if f.run(c.load, 3*second); float64(f.served) < 0.99*float64(f.requests-2_000_000) {
				t.Errorf("%d of %d served when all endpoints were warm again", f.served, f.requests-2_000_000)
			}
		})
	}
}

// Operators attach an endpoint at every replica in the same moment: each gives it a first call soon, but in turn.
func TestAttachStaggersFirstCallsOfReplicas(t *testing.T) {
	f := newSlowStartModel(t, 0.14, 3)
	f.run(0.9, 20*second)
	for _, b := range f.replicas {
		b.Detach("s3")
	}
	f.run(0.9, 3*second)
	attachedAt := f.now
	for _, b := range f.replicas {
		b.Attach(attachedAt, "s3")
	}
	f.run(0.9, 4*second)
	f.checkRate("s3", attachedAt, second)
	calls := 0
	for _, at := range f.sendTimes["s3"] {
		if at >= attachedAt && at < attachedAt+2*second {
			calls++
		}
	}
	if calls < 5 {
		t.Errorf("%d calls in the first two seconds, want 5 or more", calls)
	}
}
