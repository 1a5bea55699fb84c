package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A fleet is many replicas before the same endpoints, with calls that come at random.
type slowStartModel struct {
	t           *testing.T
	settings    Settings
	replicas    []*Balancer
	hosts       []*recorder
	random      *rand.Rand
	now         Microseconds
	outstanding []outstandingCall         // calls that are out, in the order of their ends
	sendTimes   map[string][]Microseconds // when each endpoint got a call
	requests    int
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
	slowStartWarmRate  = 40.0 // calls a second of a warm endpoint
	slowStartLatency   = 40_000
)

func newSlowStartModel(t *testing.T, start_ float64, multiple float64) *slowStartModel {
	s := testSettings()
	s.Classes = s.Classes[:1]
	s.Replicas, s.Zones, s.SlowStartCapacity, s.SlowStartDuration, s.SlowStartOverload = slowStartReplicas, 1, start_, 24*second, multiple
	f := &slowStartModel{t: t, settings: s, random: rand.New(rand.NewPCG(5, 5)), now: testStart, sendTimes: map[string][]Microseconds{}}
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

func (f *slowStartModel) endpoints(launched Microseconds) []Endpoint {
	var out []Endpoint
	for i := range slowStartEndpoints {
		out = append(out, Endpoint{ID: fmt.Sprintf("s%d", i), State: Ready, Capacity: 1, StartedAt: launched})
	}
	return out
}

func (f *slowStartModel) update(kind UpdateKind, endpoints []Endpoint) {
	for i, b := range f.replicas {
		b.UpdateEndpoints(f.now, f.hosts[i], kind, endpoints)
	}
}

// run has that part of the endpoints' warm capacity asked for, for so long.
func (f *slowStartModel) run(load float64, span Microseconds) {
	rate := load * slowStartWarmRate * slowStartEndpoints
	for end := f.now + span; f.now < end; {
		f.now += Microseconds(f.random.ExpFloat64() / rate * float64(second))
		for len(f.outstanding) > 0 && f.outstanding[0].endsAt <= f.now {
			e := f.outstanding[0]
			f.outstanding = f.outstanding[1:]
			f.replicas[e.replica].HandleOutcome(e.endsAt, f.hosts[e.replica], Outcome{ID: e.id, Status: OK, Latency: slowStartLatency, RequestDone: true})
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

// checkRate tells where a endpoint that started at launched got more in a window than it bears.
func (f *slowStartModel) checkRate(id string, launched, span Microseconds) {
	f.t.Helper()
	times := f.sendTimes[id]
	for i, from := range times {
		if from < launched {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at < from+span {
				n++
			}
		}
		part := min(1, f.settings.SlowStartCapacity+(1-f.settings.SlowStartCapacity)*float64(from-launched)/float64(f.settings.SlowStartDuration))
		bears := f.settings.SlowStartOverload * part * slowStartWarmRate * float64(span) / float64(second)
		if most := bears + 2*math.Sqrt(bears) + 2; float64(n) > most {
			f.t.Errorf("%s got %d calls in the window from %d ms after its start; it bears %.1f", id, n, (from-launched)/1000, most)
			return
		}
	}
}

// TestSlowStartModelKeepsWithinCapacity starts all endpoints at once, as those of a zone do that returns. However many replicas there are, each keeps to its
// part of what endpoints in slow start bear, and rather rejects requests; not all of them, nor for longer than slow start.
func TestSlowStartModelKeepsWithinCapacity(t *testing.T) {
	for _, c := range []struct{ start, multiple, load float64 }{{0.14, 3, 0.9}, {0.31, 3, 0.9}, {0.14, 4, 1.2}, {0.3, 2, 0.8}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newSlowStartModel(t, c.start, c.multiple)
			f.run(c.load, 20*second)
			if float64(f.served) < 0.99*float64(f.requests) {
				t.Fatalf("%d of %d served while all was well", f.served, f.requests)
			}
			launched := f.now
			f.update(FullUpdate, f.endpoints(launched))
			f.requests, f.served = 1_000_000, 0
			f.run(c.load, 3*second)
			for i := range slowStartEndpoints {
				f.checkRate(fmt.Sprintf("s%d", i), launched, second)
			}
			// What they can do at their least, as they warm: some half of it is served at once.
			asked := float64(f.requests - 1_000_000)
			if could := asked * min(1, c.start/c.load); float64(f.served) < could/2 {
				t.Errorf("%d of %.0f served, cold endpoints could serve %.0f", f.served, asked, could)
			}
			f.run(c.load, f.settings.SlowStartDuration)
			f.requests, f.served = 2_000_000, 0
			if f.run(c.load, 3*second); float64(f.served) < 0.99*float64(f.requests-2_000_000) {
				t.Errorf("%d of %d served when all were warm again", f.served, f.requests-2_000_000)
			}
		})
	}
}

// TestSlowStartModelStaggersFirstCalls attaches an endpoint at every replica in the same moment: each gives it a first call soon, but in turn.
func TestSlowStartModelStaggersFirstCalls(t *testing.T) {
	f := newSlowStartModel(t, 0.14, 3)
	f.run(0.9, 20*second)
	for _, b := range f.replicas {
		b.Detach("s3")
	}
	f.run(0.9, 3*second)
	launched := f.now
	for _, b := range f.replicas {
		b.Attach(launched, "s3")
	}
	f.run(0.9, 4*second)
	f.checkRate("s3", launched, second)
	since := 0
	for _, at := range f.sendTimes["s3"] {
		if at >= launched && at < launched+2*second {
			since++
		}
	}
	if since < 5 {
		t.Errorf("it got %d calls in two seconds", since)
	}
}
