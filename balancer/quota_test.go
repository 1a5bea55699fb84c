package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// countAdmitted returns how many requests a quota with the given rate per second admits when one arrives at
// each step.
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
				t.Errorf("quota admits %.2f requests per second, want %.1f", got, rate)
			}
		})
	}
}

// A new replica must not admit the requests of a long window at once.
func TestTenantQuotaLimitsNewReplica(t *testing.T) {
	if admitted := countAdmitted(&tenantQuota{}, 3, second, second/100); admitted > 4 {
		t.Errorf("quota admits %d requests in the first second, at 3 per second, want at most 4", admitted)
	}
}

// Many replicas whose rate is far below one request per window must not admit one request each.
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
		t.Errorf("%d replicas with 0.01 requests/s admit %d in 8 s, want some and fewer than one each",
			replicas, admitted)
	}
}

// A tenant sends one request every 4 s. At the low multiplier, each of these exceeds its rate.
func TestBurstAllowanceFallsWithMultiplier(t *testing.T) {
	for _, c := range []struct {
		multiplier  float64
		least, most int // requests sent, of 100
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
				t.Errorf("%d of 100 requests sent, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

// At a replica with one request per second, random bursts alone can use up a tenant's quota. A tenant that
// keeps sending more than its quota must be limited nevertheless.
func TestBurstAllowanceCoversRandomBurstsButNotSustainedExcess(t *testing.T) {
	for _, c := range []struct {
		rate                        float64 // of tenant 0, per second; its quota is 0.3; the others send 0.25
		leastRejected, mostRejected float64
	}{{0.25, 0, 0.05}, {3, 0.6, 1}} {
		t.Run(fmt.Sprint(c.rate), func(t *testing.T) {
			if rejected := rejectedFraction(t, c.rate); rejected > c.mostRejected || rejected < c.leastRejected {
				t.Errorf("fraction %.2f rejected, want %.2f to %.2f",
					rejected, c.leastRejected, c.mostRejected)
			}
		})
	}
}

// rejectedFraction returns the fraction of the first tenant's requests that 20 replicas reject. The first of
// four tenants sends rate requests per second to each replica, the others 0.25.
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
		if n++; n%10 == 0 { // tenant 0 sends 90 requests per second, tenant 1 sends 10
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
		t.Errorf("%d of 40 requests sent for the tenant within its quota, want all", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("%d requests sent in 4 s for the tenant over its quota of 20 per second, want at most 200",
			sent[0])
	}
}

// feedRounds feeds the given number of rounds of samples that are all slow or all fast.
func feedRounds(b *Balancer, from Microseconds, rounds int, slow bool) {
	for i := range rounds * minRoundSamples {
		now := from + Microseconds(i)
		a := &attempt{class: &b.settings.Classes[0], sentAt: now}
		b.applyBackpressure(now, b.classes[0], a, callObservation{slow: slow, speed: speedOf(false, !slow)})
	}
}

func TestQuotaMultiplierStartsAboveOneAndFallsOnOverload(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{QuotaFraction: 1, RateQuota: 20}}
	b, h := newWithEndpoints(t, s, 8)
	for i := range 32 { // one second of requests at 1.6 times the quota
		now, id := testStart+Microseconds(i)*second/32, fmt.Sprint(i)
		sendRequest(b, h, now, id, idempotentClass)
		succeed(b, h, now, id, 1000)
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("new replica sent %d of 32 requests, want all", n)
	}
	for i := 0; b.quotas.multiplier > 1; i++ {
		if i == 10*minRoundSamples {
			t.Fatalf("the multiplier is still %v after many slow calls", b.quotas.multiplier)
		}
		now := testStart + 2*second + Microseconds(i)
		a := &attempt{class: &b.settings.Classes[0], sentAt: now}
		b.applyBackpressure(now, b.classes[0], a, callObservation{slow: true, speed: slowResponse})
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

// Failures must not count as overload while other calls are as fast as without load.
func TestQuotaMultiplierIsNotCutByFaults(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 8)
	feed := func(from Microseconds, fast bool) {
		for i := range Microseconds(20 * minRoundSamples) {
			now, bad := from+i, i%3 > 0
			a := &attempt{class: &b.settings.Classes[0], sentAt: now}
			b.applyBackpressure(now, b.classes[0], a,
				callObservation{slow: bad, speed: speedOf(bad && fast, fast)})
		}
	}
	feed(testStart, true)
	if b.quotas.multiplier != overloadQuotaMultiplier {
		t.Errorf("multiplier %v after failures with fast calls in between, want %v",
			b.quotas.multiplier, overloadQuotaMultiplier)
	}
	feed(testStart+second, false)
	if b.quotas.multiplier > 0.5 {
		t.Errorf("multiplier %v after slow calls, want 0.5 or less", b.quotas.multiplier)
	}
}

func TestQuotaMultiplierFollowsSignal(t *testing.T) {
	signals := map[string]sample{ // by the signal that a round of this sample gives
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

// While calls are not slow, a tenant may use its fraction of the requests at this replica, which may exceed
// its quota.
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
			for i := range 200 { // ten times the quotas, the same from both tenants
				now += second / 6
				b.quotas.recordArrival(now, i%2)
			}
			if got := b.quotas.burstAllowance(now, b.quotas.tenants[0]); got != c.want {
				t.Errorf("burst allowance %v, want %v", got, c.want)
			}
		})
	}
}

func TestTenantQuotaLimitsWindowToReplicaAge(t *testing.T) {
	const rate = 10
	var quota tenantQuota
	for range 15 {
		quota.admitted.add(testStart)
	}
	// After 1.5 s the window is 2 s long, but the rate allows only 15 requests.
	if now := testStart + 3*second/2; quota.admits(now, testStart, rate, 0, 0) {
		t.Error("quota admits a 16th request after 1.5 s at 10 per second")
	}
	if now := testStart + 8*second/5; !quota.admits(now, testStart, rate, 0, 0) {
		t.Error("quota rejects a 16th request after 1.6 s at 10 per second")
	}
}
