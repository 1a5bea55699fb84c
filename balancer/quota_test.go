package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// countAdmitted counts what a quota of rate requests a second admits from a time on, asked at each step.
func countAdmitted(quota *tenantQuota, rate float64, span, step Microseconds) int {
	admitted := 0
	for now := testStart; now < testStart+span; now += step {
		if quota.admits(now, testStart, rate, 0, 0.5) {
			quota.admitted.add(now)
			admitted++
		}
	}
	return admitted
}

func TestTenantQuotaAdmitsRate(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 40} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			const seconds = 40
			got := float64(countAdmitted(&tenantQuota{}, rate, seconds*second, second/100)) / seconds
			if math.Abs(got-rate) > 0.15*rate+1.0/seconds {
				t.Errorf("admits %.2f a second, want %.1f", got, rate)
			}
		})
	}
}

// A fresh replica must not admit a long window of requests at once.
func TestTenantQuotaLimitsFreshReplica(t *testing.T) {
	if admitted := countAdmitted(&tenantQuota{}, 3, second, second/100); admitted > 4 {
		t.Errorf("admits %d in the first second, at 3 a second", admitted)
	}
}

// Many replicas with a rate far below one request per window must not admit one each.
func TestTenantQuotaAdmitsLessThanOneRequestPerWindow(t *testing.T) {
	const replicas = 200
	admitted := 0
	random := rand.New(rand.NewPCG(5, 5))
	for range replicas {
		var quota tenantQuota
		for now := testStart; now < testStart+8*second; now += second {
			if quota.admits(now, testStart-100*second, 0.01, 0, random.Float64()) {
				quota.admitted.add(now)
				admitted++
			}
		}
	}
	if admitted >= replicas || admitted == 0 {
		t.Errorf("%d replicas with 0.01 a second admit %d in 8 s, want some and fewer than one each", replicas, admitted)
	}
}

// Each tenant sends less than one request per window.
func TestBurstAllowanceFallsWithMultiplier(t *testing.T) {
	for _, c := range []struct {
		multiplier  float64
		least, most int // of 100
	}{{1, 95, 100}, {0.2, 20, 60}} {
		t.Run(fmt.Sprint(c.multiplier), func(t *testing.T) {
			s := testSettings()
			s.Replicas = 100
			s.Tenants = []Tenant{{QuotaFraction: 0.5, RateQuota: 30}, {QuotaFraction: 0.5, RateQuota: 30}}
			b, h := newWithEndpoints(t, s, 4)
			for i := range 100 {
				now, id := testStart+Microseconds(i)*4*second, fmt.Sprint(i)
				b.quotas.multiplier = c.multiplier
				b.quotas.tenants[0].arrivals, b.quotas.arrivals = decayingCount{}, decayingCount{}
				sendRequest(b, h, now, id, idempotentClass)
				succeed(b, h, now, id, 1000)
			}
			if n := len(h.sends); n < c.least || n > c.most {
				t.Errorf("%d of 100 are sent, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

// At a replica that gets a request a second, chance alone fills a tenant's quota. A tenant that goes on sending more
// than its quota must be limited all the same.
func TestBurstAllowanceCoversChanceNotExcess(t *testing.T) {
	for _, c := range []struct {
		rate                        float64 // of tenant 0, whose quota is 0.3; the others send 0.25 a second each
		leastRejected, mostRejected float64
	}{{0.25, 0, 0.05}, {3, 0.6, 1}} {
		t.Run(fmt.Sprint(c.rate), func(t *testing.T) {
			if rejected := rejectedFraction(t, c.rate); rejected > c.mostRejected || rejected < c.leastRejected {
				t.Errorf("%.2f are rejected, want %.2f to %.2f", rejected, c.leastRejected, c.mostRejected)
			}
		})
	}
}

// rejectedFraction returns what part of the requests of the first of four tenants 20 replicas reject. It sends rate
// requests a second, the others 0.25 each.
func rejectedFraction(t *testing.T, rate float64) float64 {
	t.Helper()
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{QuotaFraction: 0.25, RateQuota: 30})
	}
	random := rand.New(rand.NewPCG(3, 3))
	sent, requests := 0.0, 0.0
	for replica := range 20 {
		s.ReplicaIndex = replica
		b, h := newWithEndpoints(t, s, 4)
		for now := testStart; now < testStart+40*second; now += second / 100 {
			for tenant, tenantRate := range []float64{rate, 0.25, 0.25, 0.25} {
				if random.Float64() > tenantRate/100 {
					continue
				}
				id, before := fmt.Sprint(now, tenant), len(h.sends)
				b.HandleRequest(now, h, Request{ID: id, Tenant: tenant, Deadline: now + second})
				if tenant == 0 {
					requests++
					sent += float64(len(h.sends) - before)
				}
				succeed(b, h, now, id, 300_000)
			}
		}
	}
	return 1 - sent/requests
}

func TestTenantQuotaShedsExcess(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 0.5, RateQuota: 20}, {QuotaFraction: 0.5, RateQuota: 20}}
	b, h := newWithEndpoints(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := testStart; now < testStart+4*second; now += second / 100 {
		tenant := 0
		if n++; n%10 == 0 { // tenant 0 sends 90 a second, tenant 1 sends 10
			tenant = 1
		}
		id, before := fmt.Sprint(n), len(h.sends)
		b.HandleRequest(now, h, Request{ID: id, Tenant: tenant, Deadline: now + second})
		if len(h.sends) > before {
			sent[tenant]++
			succeed(b, h, now, id, 400_000)
		}
	}
	if sent[1] != 40 {
		t.Errorf("%d of 40 requests of the tenant within its quota are sent", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("%d requests of the tenant over its quota are sent in 4 s, at 20 a second", sent[0])
	}
}

// feedRounds feeds that many rounds of samples that are all slow, or all fast.
func feedRounds(b *Balancer, from Microseconds, rounds int, slow bool) {
	for i := range rounds * minRoundSamples {
		now := from + Microseconds(i)
		a := &attempt{class: &b.settings.Classes[0], sentAt: now}
		b.applyBackpressure(now, b.classes[0], a, callResult{slow: slow, speed: speedOf(false, !slow)})
	}
}

func TestQuotaMultiplierStartsAboveOneAndFallsOnOverload(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, h := newWithEndpoints(t, s, 8)
	for i := range 32 { // a second's requests at 1.6 times the quota
		now, id := testStart+Microseconds(i)*second/32, fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, 1000)
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 are sent at a fresh replica", n)
	}
	for i := 0; b.quotas.multiplier > 1; i++ {
		if i == 10*minRoundSamples {
			t.Fatalf("the multiplier is still %v", b.quotas.multiplier)
		}
		now := testStart + 2*second + Microseconds(i)
		a := &attempt{class: &b.settings.Classes[0], sentAt: now}
		b.applyBackpressure(now, b.classes[0], a, callResult{slow: true, speed: slowResponse})
	}
	if b.quotas.multiplier < minQuotaMultiplier || b.quotas.multiplier >= 1 {
		t.Errorf("the multiplier is %v after an overload, want less than 1", b.quotas.multiplier)
	}
}

func TestQuotaMultiplierRecoversWithinTwelveRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, _ := newWithEndpoints(t, s, 8)
	b.quotas.multiplier = overloadQuotaMultiplier
	feedRounds(b, testStart, 12, false)
	if b.quotas.multiplier != initialQuotaMultiplier {
		t.Errorf("the multiplier is %v, want %v", b.quotas.multiplier, initialQuotaMultiplier)
	}
}

// Failures beside calls that are as fast as without load are no evidence of load.
func TestQuotaMultiplierIsNotCutByFaults(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 8)
	feed := func(from Microseconds, fast bool) {
		for i := range Microseconds(20 * minRoundSamples) {
			now, bad := from+i, i%3 > 0
			a := &attempt{class: &b.settings.Classes[0], sentAt: now}
			b.applyBackpressure(now, b.classes[0], a, callResult{slow: bad, speed: speedOf(bad && fast, fast)})
		}
	}
	feed(testStart, true)
	if b.quotas.multiplier != overloadQuotaMultiplier {
		t.Errorf("failures beside fast calls: %v, want %v", b.quotas.multiplier, overloadQuotaMultiplier)
	}
	feed(testStart+second, false)
	if b.quotas.multiplier > 0.5 {
		t.Errorf("slow calls: %v, want 0.5 or less", b.quotas.multiplier)
	}
}

func TestQuotaMultiplierFollowsSignal(t *testing.T) {
	signals := map[string]sample{ // a round of them gives the signal
		"healthy":    {testStart, false, fastResponse},
		"faulty":     {testStart, true, fastResponse},
		"overloaded": {testStart, true, slowResponse},
	}
	for _, c := range []struct {
		signal       string
		before, want float64
	}{
		{"healthy", 0.5, 0.5 + quotaRecovery},
		{"healthy", 0.95, 1},
		{"healthy", 1.5, 1.5 + quotaIncrease},
		{"healthy", initialQuotaMultiplier, initialQuotaMultiplier},
		{"faulty", 0.5, 0.5 + quotaRecovery},
		{"faulty", 1.5, overloadQuotaMultiplier},
	} {
		t.Run(fmt.Sprint(c.signal, " at ", c.before), func(t *testing.T) {
			q := newTenantQuotas(0)
			q.multiplier = c.before
			q.evidence.configure(maxSlowFraction, second)
			for q.evidence.samples > 0 || q.evidence.start == 0 { // until the first round is complete
				q.adjust(testStart, signals[c.signal])
			}
			if math.Abs(q.multiplier-c.want) > 1e-9 {
				t.Errorf("multiplier %v, want %v", q.multiplier, c.want)
			}
		})
	}
	t.Run("overloaded", func(t *testing.T) {
		q := newTenantQuotas(0)
		q.evidence.configure(maxSlowFraction, second)
		for q.evidence.samples > 0 || q.evidence.start == 0 {
			q.adjust(testStart, signals["overloaded"])
		}
		if q.multiplier >= overloadQuotaMultiplier || q.multiplier < minQuotaMultiplier {
			t.Errorf("multiplier %v, want %v to %v", q.multiplier, minQuotaMultiplier, overloadQuotaMultiplier)
		}
	})
}

// While nothing is slow a tenant may have its part of what this replica gets, which may be more than of its quotas.
func TestBurstAllowanceFollowsArrivalsUnlessSlow(t *testing.T) {
	for _, c := range []struct {
		multiplier float64
		want       float64
	}{{1, 1}, {0.9, 0}} {
		t.Run(fmt.Sprint("multiplier ", c.multiplier), func(t *testing.T) {
			s := testSettings()
			s.Replicas = 100
			s.Tenants = []Tenant{{QuotaFraction: 0.5, RateQuota: 30}, {QuotaFraction: 0.5, RateQuota: 30}}
			b, _ := newWithEndpoints(t, s, 4)
			b.quotas.multiplier = c.multiplier
			now := testStart
			for i := range 200 { // ten times the quotas, from both tenants alike
				now += second / 6
				b.quotas.recordArrival(now, i%2)
			}
			if got := b.quotas.burstAllowance(now, b.quotas.tenants[0]); got != c.want {
				t.Errorf("burst allowance %v, want %v", got, c.want)
			}
		})
	}
}

func TestTenantQuotaCountsNoLongerThanReplicaRuns(t *testing.T) {
	const rate = 10
	var quota tenantQuota
	for range 15 {
		quota.admitted.add(testStart)
	}
	// After 1.5 s the window is 2 s long, but only 15 requests are within the rate.
	if now := testStart + 3*second/2; quota.admits(now, testStart, rate, 0, 0) {
		t.Error("admits a 16th request after 1.5 s at 10 a second")
	}
	if now := testStart + 8*second/5; !quota.admits(now, testStart, rate, 0, 0) {
		t.Error("rejects a 16th request after 1.6 s at 10 a second")
	}
}
