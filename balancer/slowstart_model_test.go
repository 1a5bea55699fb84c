package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A fleet is many copies before the same servers, with calls that come at random and take a while.
type coldFleet struct {
	t      *testing.T
	set    Settings
	copies []*Balancer
	hosts  []*recorder
	rnd    *rand.Rand
	now    Microseconds
	ends   []coldCall                // calls that are out, in the order of their ends
	got    map[string][]Microseconds // when each server got a call
	asked  int
	served int
}

type coldCall struct {
	at   Microseconds
	copy int
	id   string
}

const (
	coldCopies   = 30
	coldServers  = 12
	coldCapacity = 40.0 // calls a second of a warm server
	coldTook     = 40_000
)

func newColdFleet(t *testing.T, start_ float64, multiple float64) *coldFleet {
	s := testSettings()
	s.Classes = s.Classes[:1]
	s.Replicas, s.Zones, s.SlowStartCapacity, s.SlowStartDuration, s.SlowStartOverload = coldCopies, 1, start_, 24*second, multiple
	f := &coldFleet{t: t, set: s, rnd: rand.New(rand.NewPCG(5, 5)), now: start, got: map[string][]Microseconds{}}
	for i := range coldCopies {
		s.ReplicaIndex = i
		b, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.copies, f.hosts = append(f.copies, b), append(f.hosts, &recorder{})
	}
	f.list(FullUpdate, f.servers(0))
	return f
}

func (f *coldFleet) servers(launched Microseconds) []Endpoint {
	var out []Endpoint
	for i := range coldServers {
		out = append(out, Endpoint{ID: fmt.Sprintf("s%d", i), State: Ready, Capacity: 1, StartedAt: launched})
	}
	return out
}

func (f *coldFleet) list(kind UpdateKind, servers []Endpoint) {
	for i, b := range f.copies {
		b.UpdateEndpoints(f.now, f.hosts[i], kind, servers)
	}
}

// run has that part of the servers' warm capacity asked for, for so long.
func (f *coldFleet) run(load float64, span Microseconds) {
	rate := load * coldCapacity * coldServers
	for end := f.now + span; f.now < end; {
		f.now += Microseconds(f.rnd.ExpFloat64() / rate * float64(second))
		for len(f.ends) > 0 && f.ends[0].at <= f.now {
			e := f.ends[0]
			f.ends = f.ends[1:]
			f.copies[e.copy].HandleOutcome(e.at, f.hosts[e.copy], Outcome{ID: e.id, Status: OK, Latency: coldTook, RequestDone: true})
		}
		i := f.rnd.IntN(coldCopies)
		f.asked++
		id, h := fmt.Sprint(f.asked), f.hosts[i]
		before := len(h.sends)
		if ask(f.copies[i], h, f.now, id, 0); len(h.sends) > before {
			f.served++
			server := h.sends[before].server
			f.got[server] = append(f.got[server], f.now)
			f.ends = append(f.ends, coldCall{f.now + coldTook, i, id})
		}
	}
}

// check tells where a server that started at launched got more in a window than it bears.
func (f *coldFleet) check(id string, launched, span Microseconds) {
	f.t.Helper()
	times := f.got[id]
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
		part := min(1, f.set.SlowStartCapacity+(1-f.set.SlowStartCapacity)*float64(from-launched)/float64(f.set.SlowStartDuration))
		bears := f.set.SlowStartOverload * part * coldCapacity * float64(span) / float64(second)
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
			f := newColdFleet(t, c.start, c.multiple)
			f.run(c.load, 20*second)
			if float64(f.served) < 0.99*float64(f.asked) {
				t.Fatalf("%d of %d served while all was well", f.served, f.asked)
			}
			launched := f.now
			f.list(FullUpdate, f.servers(launched))
			f.asked, f.served = 1_000_000, 0
			f.run(c.load, 3*second)
			for i := range coldServers {
				f.check(fmt.Sprintf("s%d", i), launched, second)
			}
			// What they can do at their least, as they warm: some half of it is served at once.
			asked := float64(f.asked - 1_000_000)
			if could := asked * min(1, c.start/c.load); float64(f.served) < could/2 {
				t.Errorf("%d of %.0f served, cold servers could serve %.0f", f.served, asked, could)
			}
			f.run(c.load, f.set.SlowStartDuration)
			f.asked, f.served = 2_000_000, 0
			if f.run(c.load, 3*second); float64(f.served) < 0.99*float64(f.asked-2_000_000) {
				t.Errorf("%d of %d served when all were warm again", f.served, f.asked-2_000_000)
			}
		})
	}
}

// TestSlowStartModelStaggersFirstCalls attaches an endpoint at every replica in the same moment: each gives it a first call soon, but in turn.
func TestSlowStartModelStaggersFirstCalls(t *testing.T) {
	f := newColdFleet(t, 0.14, 3)
	f.run(0.9, 20*second)
	for _, b := range f.copies {
		b.Detach("s3")
	}
	f.run(0.9, 3*second)
	launched := f.now
	for _, b := range f.copies {
		b.Attach(launched, "s3")
	}
	f.run(0.9, 4*second)
	f.check("s3", launched, second)
	since := 0
	for _, at := range f.got["s3"] {
		if at >= launched && at < launched+2*second {
			since++
		}
	}
	if since < 5 {
		t.Errorf("it got %d calls in two seconds", since)
	}
}
