package balancer

import (
	"fmt"
	"testing"
)

func TestPickEndpointKeepsSlowStartBelowCapacity(t *testing.T) {
	s := testSettings()
	b, h := mustNew(t, s), &recorder{}
	list := readyEndpoints(2)
	list[1].StartedAt = testStart - 1
	b.UpdateEndpoints(testStart, h, FullUpdate, list)
	for i := range 4000 {
		now, id := testStart+Microseconds(i), fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, 1000)
	}
	warming := 0
	for _, s := range h.sends {
		if s.endpoint == "s1" {
			warming++
		}
	}
	ratio := float64(warming) / float64(len(h.sends)-warming)
	if ratio > s.SlowStartCapacity || ratio == 0 {
		t.Errorf("ratio of slow start to warm calls is %.3f, want more than 0 and at most the capacity %.3f",
			ratio, s.SlowStartCapacity)
	}
	if f := b.settings.slowStartFactor(testStart+s.SlowStartDuration, b.endpoints.byID["s1"]); f != 1 {
		t.Errorf("slow start factor after slow start is %v, want 1", f)
	}
}

// An endpoint may restart unnoticed while it is detached, so Attach resets its health and starts slow start.
func TestAttachStartsSlowStart(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 4)
	ep := b.endpoints.byID["s1"]
	b.Detach("s1")
	ep.overall.factor = minHealth // set by failures of the previous process
	b.Attach(testStart, "s1")
	if f := b.settings.slowStartFactor(testStart, ep); f != slowStartMargin*b.settings.SlowStartCapacity {
		t.Errorf("slow start factor is %v immediately after Attach", f)
	}
	if ep.overall.factor != 1 {
		t.Errorf("health after Attach is %v, want 1", ep.overall.factor)
	}
	warm := testStart + b.settings.SlowStartDuration
	if f := b.settings.slowStartFactor(warm, ep); f != 1 {
		t.Errorf("slow start factor is %v after slow start, want 1", f)
	}
	b.Attach(warm, "s1")
	if f := b.settings.slowStartFactor(warm, ep); f != 1 {
		t.Errorf("slow start factor is %v after a repeated Attach, want 1", f)
	}
}

// An attached endpoint gets its first call soon, even if it is in another zone and outside this replica's
// subset. After that it gets as many calls as slow start allows.
func TestAttachSendsFirstCallSoon(t *testing.T) {
	s := testSettings()
	s.Tier = 1 // behind the front tier, other zones have a low initial weight
	b, _ := newWithEndpoints(t, s, 16)
	countSends(b, testStart, 400)
	attached := b.endpoints.ready[len(b.endpoints.ready)-1]
	for _, ep := range b.endpoints.ready {
		if ep.Zone != s.Zone {
			attached = ep
		}
	}
	b.Detach(attached.ID)
	b.Attach(testStart, attached.ID)
	if counts := countSends(b, testStart, 60); counts[attached.ID] == 0 {
		t.Errorf("none of 60 attempts went to the attached endpoint: %v", counts)
	}

	h := &recorder{}
	for _, c := range []struct {
		name   string
		attach func()
	}{
		{"listed", func() { b.Attach(testStart, attached.ID) }},
		{"attached before it is listed", func() {
			b.UpdateEndpoints(testStart, h, IncrementalUpdate, []Endpoint{{ID: attached.ID}})
			b.Attach(testStart, attached.ID)
			b.UpdateEndpoints(testStart, h, IncrementalUpdate, []Endpoint{
				{ID: attached.ID, Zone: attached.Zone, State: Ready, Capacity: 1}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b.Detach(attached.ID)
			c.attach()
			if attempts := failFirstTwoConnections(b, h, attached.ID); attempts < 3 {
				t.Errorf("%d attempts after Attach, two of which could not connect, want at least 3",
					attempts)
			}
		})
	}
	ep := b.endpoints.byID[attached.ID]
	if weight := b.weight(testStart, ep, b.classes[0]); ep.reintroductionPending || weight >= slowStartMargin {
		t.Errorf("after the first call: pending %v, weight %v, want false and a slow start weight",
			ep.reintroductionPending, weight)
	}
}

// failFirstTwoConnections sends 200 requests. The first two attempts to the endpoint end with ConnectFailed,
// all others with OK. It returns the number of attempts to the endpoint.
func failFirstTwoConnections(b *Balancer, h *recorder, endpoint string) int {
	attempts := 0
	for i := range 200 {
		id, before := fmt.Sprint("t", i), len(h.sends)
		if sendRequest(b, h, testStart, id, idempotentClass); len(h.sends) == before {
			continue
		}
		status := OK
		if h.sends[before].endpoint == endpoint {
			if attempts < 2 {
				status = ConnectFailed
			}
			attempts++
		}
		b.HandleOutcome(testStart+1000, h, Outcome{ID: id, Status: status, Latency: 1000, RequestDone: true})
	}
	return attempts
}
