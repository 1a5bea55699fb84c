package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestTenantQuotaAdmitsRate(t *testing.T) {
	for _, count := range []float64{0.5, 3, 40} {
		var r tenantQuota
		passed := 0
		const secs = 40
		for now := start; now < start+secs*second; now += second / 100 {
			if r.admits(now, start, count, 0, 0.5) {
				r.admitted.add(now)
				passed++
			}
		}
		if rate := float64(passed) / secs; math.Abs(rate-count) > 0.15*count+1.0/secs {
			t.Errorf("count %.1f passed %.2f a second", count, rate)
		}
	}
}

// TestTenantQuotaLimitsFreshReplica checks that a fresh replica does not admit a long window of requests at once.
func TestTenantQuotaLimitsFreshReplica(t *testing.T) {
	var r tenantQuota
	passed := 0
	for now := start; now < start+second; now += second / 100 {
		if r.admits(now, start, 3, 0, 0.5) {
			r.admitted.add(now)
			passed++
		}
	}
	if passed > 4 {
		t.Errorf("passed %d in the first second with a count of 3", passed)
	}
}

// TestTenantQuotaAdmitsLessThanOneRequestPerWindow has many replicas with a rate far below one request per window: not each of them may admit one.
func TestTenantQuotaAdmitsLessThanOneRequestPerWindow(t *testing.T) {
	passed := 0
	rnd := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var r tenantQuota
		for now := start; now < start+8*second; now += second {
			if r.admits(now, start-100*second, 0.01, 0, rnd.Float64()) {
				r.admitted.add(now)
				passed++
			}
		}
	}
	if most := 200; passed >= most || passed == 0 { // was one each
		t.Errorf("200 copies with a count of 0.01 a second passed %d calls in 8 s", passed)
	}
}

// TestBurstAllowanceFallsWithMultiplier sends less than one request per window: bursts are allowed for in full only while calls are not slow.
func TestBurstAllowanceFallsWithMultiplier(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 100, []Tenant{{QuotaFraction: 0.5, RateQuota: 30}, {QuotaFraction: 0.5, RateQuota: 30}}
	sent := func(share float64) int {
		b, h := with(t, s, 4)
		for i := range 100 {
			now, id := start+Microseconds(i)*4*second, fmt.Sprint(i)
			b.quotas.multiplier, b.quotas.tenants[0].arrivals, b.quotas.arrivals = share, decayingCount{}, decayingCount{}
			b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
			b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
		}
		return len(h.sends)
	}
	if n := sent(1); n < 95 {
		t.Errorf("with nothing slow %d of 100 pass", n)
	}
	if n := sent(0.2); n > 60 || n < 20 {
		t.Errorf("at a share of 0.2 %d of 100 pass", n)
	}
}

// TestBurstAllowanceCoversChanceNotExcess has a tenant send its quota by chance, and another one ten times its quota.
func TestBurstAllowanceCoversChanceNotExcess(t *testing.T) {
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{QuotaFraction: 0.25, RateQuota: 30})
	}
	for _, c := range []struct {
		perSecond, most, least float64 // of tenant 0; the others send 0.25 a second each; parts of it refused
	}{{0.25, 0.05, 0}, {3, 1, 0.6}} {
		rnd := rand.New(rand.NewPCG(3, 3))
		sent, asked := 0.0, 0.0
		for copies := range 20 {
			s.ReplicaIndex = copies
			b, h := with(t, s, 4)
			for now := start; now < start+40*second; now += second / 100 {
				for tenant, rate := range []float64{c.perSecond, 0.25, 0.25, 0.25} {
					if rnd.Float64() > rate/100 {
						continue
					}
					id := fmt.Sprint(now, tenant)
					before := len(h.sends)
					b.HandleRequest(now, h, Request{ID: id, Tenant: tenant, Deadline: now + second})
					if tenant == 0 {
						asked++
						sent += float64(len(h.sends) - before)
					}
					b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 300_000, RequestDone: true})
				}
			}
		}
		if refused := 1 - sent/asked; refused > c.most || refused < c.least {
			t.Errorf("at %.2f calls a second and a count of 0.3, %.2f are refused", c.perSecond, refused)
		}
	}
}

func TestTenantQuotaShedsExcess(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 0.5, RateQuota: 20}, {QuotaFraction: 0.5, RateQuota: 20}}
	b, h := with(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := start; now < start+4*second; now += second / 100 {
		tenant := 0
		if n++; n%10 == 0 { // tenant 0 asks for 90 a second, tenant 1 for 10
			tenant = 1
		}
		before := len(h.sends)
		id := fmt.Sprint(n)
		b.HandleRequest(now, h, Request{ID: id, Class: 0, Tenant: tenant, Deadline: now + second})
		if len(h.sends) > before {
			sent[tenant]++
			b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 400_000, RequestDone: true})
		}
	}
	if sent[1] != 40 {
		t.Errorf("the tenant inside its share got %d of 40", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("the tenant over its share got %d in 4 s, at 20 a second", sent[0])
	}
}

func TestQuotaMultiplierStartsAboveOneAndFallsOnOverload(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, h := with(t, s, 8)
	for i := range 32 { // a second's traffic at 1.6 times the share
		now, id := start+Microseconds(i)*second/32, fmt.Sprint(i)
		b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
		b.HandleOutcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 pass at a fresh copy", n)
	}
	for i := 0; b.quotas.multiplier > 1; i++ {
		if i == 10*minRoundSamples {
			t.Fatalf("share still %v", b.quotas.multiplier)
		}
		now := start + 2*second + Microseconds(i)
		b.applyPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, pressure{slow: true, speed: slowResponse})
	}
	if b.quotas.multiplier < minQuotaMultiplier || b.quotas.multiplier >= 1 {
		t.Errorf("a bad round leaves a share of %v", b.quotas.multiplier)
	}
}

func TestQuotaMultiplierRecoversWithinTwelveRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, _ := with(t, s, 8)
	b.quotas.multiplier = overloadQuotaMultiplier
	for i := range 12 * minRoundSamples {
		now := start + Microseconds(i)
		b.applyPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, pressure{slow: false, speed: fastResponse})
	}
	if b.quotas.multiplier != initialQuotaMultiplier {
		t.Errorf("share %v after a dozen good rounds", b.quotas.multiplier)
	}
}

func TestQuotaMultiplierKeepsQuotaThroughFaults(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	feed := func(from Microseconds, fast bool) {
		for i := range Microseconds(20 * minRoundSamples) {
			now := from + i
			bad := i%3 > 0
			b.applyPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now}, pressure{slow: bad, speed: speedOf(bad && fast, fast)})
		}
	}
	feed(start, true)
	if b.quotas.multiplier != overloadQuotaMultiplier {
		t.Errorf("failures beside fast calls leave a share of %v, want %v", b.quotas.multiplier, overloadQuotaMultiplier)
	}
	feed(start+second, false)
	if b.quotas.multiplier > 0.5 {
		t.Errorf("slow calls leave a share of %v", b.quotas.multiplier)
	}
}
