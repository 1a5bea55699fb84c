package balancer

import (
	"cmp"
	"math"
)

const (
	initialQuotaMultiplier  = 2.0 // until the first round completes; also the maximum
	overloadQuotaMultiplier = 1.0 // maximum after a bad round: traffic over the quotas is rejected first
	minQuotaMultiplier      = 0.2 // lower bound

	// innerQuotaMultiplier replaces initialQuotaMultiplier and overloadQuotaMultiplier behind the front tier:
	// quotas count first attempts, and the front tier sheds load.
	innerQuotaMultiplier = 20.0

	quotaIncrease       = 0.1  // added to the multiplier after a good round
	quotaRecovery       = 0.15 // added instead below 1, where traffic within the quotas is rejected
	fullBurstMultiplier = 0.8  // multiplier from which on random bursts are fully allowed
	burstDeviations     = 2.0  // standard deviations of a Poisson count that are considered random
	minWindowCount      = 24.0 // the window of a quota is extended until it holds this many requests
	maxSlowFraction     = 0.3  // a larger fraction of slow calls cuts quotas, limits and zone preference
)

// tenantQuota limits the rate of requests that are admitted for one tenant (a rule of QPS grade, in
// Sentinel's terms).
type tenantQuota struct {
	fraction float64       // of the rate of all tenants together
	admitted slidingWindow // requests that were sent
	arrivals decayingCount // requests, whether sent or not
}

// admits reports whether the quota admits one more request, at a rate in requests per second. The window is
// extended beyond one second to support fractional rates, but not beyond the first request of the replica.
// burstAllowance is the probability that a request over the rate is admitted if the excess may be random; u
// must be uniform in [0, 1).
func (t *tenantQuota) admits(now, firstRequestAt Microseconds, rate, burstAllowance, u float64) bool {
	age := now - firstRequestAt
	span := second
	for span < windowLength && rate*float64(span/second) < minWindowCount && age >= span {
		span *= 2
	}
	admitted := t.admitted.sum(now, span)
	allowed := rate * float64(min(span, max(second, age))) / float64(second)
	return admitted+1 <= allowed+u ||
		u < burstAllowance && admitted <= allowed+burstDeviations*math.Sqrt(allowed)
}

// tenantQuotas holds the quotas of all tenants and the multiplier that scales them.
type tenantQuotas struct {
	tenants            []*tenantQuota // in the order of the settings
	fairRate           float64        // sum of all quotas at one replica, in requests per second
	arrivals           decayingCount  // requests of all tenants
	firstRequestAt     Microseconds   // 0 if there was none yet
	multiplier         float64        // scales all quotas
	maxMultiplier      float64
	overloadMultiplier float64 // maximum after a bad round
	evidence           evidenceRound
}

// newTenantQuotas returns the quotas of a new replica.
func newTenantQuotas(tier int) tenantQuotas {
	if tier > 0 {
		return tenantQuotas{multiplier: innerQuotaMultiplier, maxMultiplier: innerQuotaMultiplier,
			overloadMultiplier: innerQuotaMultiplier}
	}
	return tenantQuotas{multiplier: initialQuotaMultiplier, maxMultiplier: initialQuotaMultiplier,
		overloadMultiplier: overloadQuotaMultiplier}
}

// recordArrival counts a request and returns the quota of its tenant, or nil if there is no such tenant.
func (q *tenantQuotas) recordArrival(now Microseconds, tenant int) *tenantQuota {
	q.firstRequestAt = cmp.Or(q.firstRequestAt, now)
	q.arrivals.add(now)
	if tenant < 0 || tenant >= len(q.tenants) {
		return nil
	}
	quota := q.tenants[tenant]
	quota.arrivals.add(now)
	return quota
}

// admits reports whether a tenant's quota admits one more request; u must be uniform in [0, 1).
func (q *tenantQuotas) admits(now Microseconds, t *tenantQuota, u float64) bool {
	rate := q.multiplier * q.fairRate * t.fraction
	return t.admits(now, q.firstRequestAt, rate, q.burstAllowance(now, t), u)
}

// burstAllowance returns the probability that a request over a tenant's rate is admitted if the excess may be
// random. At a low rate, a single request can already be such an excess. The probability is lower while calls
// are slow. It is 0 for a tenant that clearly sends more than its fraction of the quotas; while calls are not
// slow, the tenant must also clearly send more than its fraction of the requests at this replica, since
// traffic may have moved here.
func (q *tenantQuotas) burstAllowance(now Microseconds, t *tenantQuota) float64 {
	expected := q.fairRate * float64(min(now-q.firstRequestAt, countLifetime)) / float64(second)
	if q.multiplier >= 1 {
		expected = max(expected, q.arrivals.at(now))
	}
	expected *= t.fraction
	if t.arrivals.at(now) > expected+burstDeviations*math.Sqrt(expected)+1 {
		return 0
	}
	return min(1, q.multiplier/fullBurstMultiplier)
}

// adjust adds a sample. When this completes a round, adjust changes the multiplier according to its signal.
func (q *tenantQuotas) adjust(now Microseconds, s sample) {
	switch signal, factor := q.evidence.add(now, s); {
	case signal == signalPending:
	case signal == signalOverloaded:
		q.multiplier = max(minQuotaMultiplier, min(q.multiplier, q.overloadMultiplier)*factor)
	case q.multiplier < 1:
		q.multiplier = min(1, q.multiplier+quotaRecovery)
	case signal == signalFaulty:
		q.multiplier = min(q.multiplier, q.overloadMultiplier)
	default:
		q.multiplier = min(q.maxMultiplier, q.multiplier+quotaIncrease)
	}
}

// replaceTenants applies the tenants of new settings and keeps the state of those that were there before.
func (q *tenantQuotas) replaceTenants(before []Tenant, s *Settings) {
	var quotas []*tenantQuota
	q.fairRate = 0
	for i, from := range matchNames(tenantNames(before), tenantNames(s.Tenants)) {
		quota := &tenantQuota{}
		if from >= 0 {
			quota = q.tenants[from]
		}
		quota.fraction = s.Tenants[i].QuotaFraction
		quotas = append(quotas, quota)
		// Replicas get equal shares; the multiplier adapts if one carries more than its share.
		q.fairRate += s.Tenants[i].RateQuota / float64(s.Replicas)
	}
	q.tenants = quotas
}
