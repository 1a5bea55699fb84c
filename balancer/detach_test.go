package balancer

import (
	"fmt"
	"testing"
)

// drawn sends n requests, each answered at once, and counts what each server got.
func drawn(b *Balancer, now Microseconds, n int) map[string]int {
	h, got := &recorder{}, map[string]int{}
	for i := range n {
		id := fmt.Sprint(now, "-", i)
		ask(b, h, now, id, 0)
		if len(h.sends) == i+1 {
			got[h.sends[i].server]++
			b.HandleOutcome(now+1000, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
		}
	}
	return got
}

// Operators detach a server: whatever lists say of it meanwhile, it gets nothing until they attach it.
func TestADetachedServerGetsNothingWhateverTheListSays(t *testing.T) {
	b, h := with(t, testSettings(), 4)
	if got := drawn(b, start, 400); got["s1"] == 0 {
		t.Fatalf("not in use to begin with: %v", got)
	}
	b.Detach("s1")
	b.Detach("s1")
	moved := fleet(4)[1]
	moved.StartedAt = start
	for name, news := range map[string]func(){
		"nothing":    func() {},
		"a change":   func() { b.UpdateEndpoints(start, h, IncrementalUpdate, []Endpoint{moved}) },
		"a snapshot": func() { b.UpdateEndpoints(start, h, FullUpdate, fleet(4)) },
		"gone and back": func() {
			b.UpdateEndpoints(start, h, FullUpdate, fleet(1))
			b.UpdateEndpoints(start, h, FullUpdate, fleet(4))
		},
	} {
		if news(); drawn(b, start, 400)["s1"] != 0 {
			t.Errorf("after %s it got something", name)
		}
	}
	b.Attach(start, "s1")
	if got := drawn(b, start, 4000); got["s1"] == 0 {
		t.Errorf("after one call back it got nothing: %v", got)
	}
}

// One that is detached before any list names it is out from its first listing on.
func TestADetachedServerNeedNotBeListed(t *testing.T) {
	b, h := mustNew(t, testSettings()), &recorder{}
	b.Detach("s1")
	b.UpdateEndpoints(start, h, FullUpdate, fleet(2))
	if got := drawn(b, start, 100); got["s1"] != 0 || got["s0"] != 100 {
		t.Errorf("got %v", got)
	}
	b.Attach(start, "s1")
	b.Attach(start, "nobody")
}

// The backend was restarted meanwhile, and the list may not yet say so: it is cold, and warm in the usual time.
func TestAnAttachedServerIsCold(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	s := b.byID["s1"]
	b.Detach("s1")
	s.overall.factor = minHealth // what was learned of the process before
	b.Attach(start, "s1")
	if w := b.slowStartFactor(start, s); w != slowStartMargin*b.settings.SlowStartCapacity {
		t.Errorf("its warmth is %v", w)
	}
	if s.overall.factor != 1 {
		t.Errorf("its health is %v", s.overall.factor)
	}
	if w := b.slowStartFactor(start+b.settings.SlowStartDuration, s); w != 1 {
		t.Errorf("later its warmth is %v", w)
	}
	b.Attach(start+b.settings.SlowStartDuration, "s1") // harmless: it was in use all along
	if w := b.slowStartFactor(start+b.settings.SlowStartDuration, s); w != 1 {
		t.Errorf("after a repeated call its warmth is %v", w)
	}
}

// A server that is put back is cold and may stand in another zone or outside this copy's subset. It gets one call soon
// all the same, and then what a cold one gets.
func TestAnAttachedServerGetsACallSoon(t *testing.T) {
	set := testSettings()
	set.Tier = 1 // other zones weigh little here
	b, _ := with(t, set, 16)
	drawn(b, start, 400)
	last := b.ready[len(b.ready)-1]
	for _, s := range b.ready {
		if s.Zone != set.Zone {
			last = s
		}
	}
	b.Detach(last.ID)
	b.Attach(start, last.ID)
	if got := drawn(b, start, 60); got[last.ID] == 0 {
		t.Errorf("it got nothing of 60 calls: %v", got)
	}
	h := &recorder{}
	for _, first := range []func(){func() { b.Attach(start, last.ID) }, func() { // back before any list names it
		b.UpdateEndpoints(start, h, IncrementalUpdate, []Endpoint{{ID: last.ID}})
		b.Attach(start, last.ID)
		b.UpdateEndpoints(start, h, IncrementalUpdate, []Endpoint{{ID: last.ID, Zone: last.Zone, State: Ready, Capacity: 1}})
	}} {
		b.Detach(last.ID)
		first()
		tries := 0
		for i := range 200 { // and one that could not be reached is owed its call still
			n := len(h.sends)
			if ask(b, h, start, fmt.Sprint("t", i), 0); len(h.sends) == n {
				continue
			}
			status := OK
			if h.sends[n].server == last.ID && tries < 2 {
				status = ConnectFailed
			}
			if h.sends[n].server == last.ID {
				tries++
			}
			b.HandleOutcome(start+1000, h, Outcome{ID: fmt.Sprint("t", i), Status: status, Latency: 1000, RequestDone: true})
		}
		if tries < 3 {
			t.Errorf("%d calls went there, two of them in vain", tries)
		}
	}
	last = b.byID[last.ID]
	if last.reintroductionPending || b.weight(start, last, b.classes[0]) >= slowStartMargin {
		t.Errorf("after its first call: owed %v, weighs %v", last.reintroductionPending, b.weight(start, last, b.classes[0]))
	}
}
