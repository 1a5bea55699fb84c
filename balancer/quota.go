package balancer

import (
	"cmp"
	"math"
)

const (
	initialQuotaMultiplier  = 2.0  // before any evidence, and at most
	overloadQuotaMultiplier = 1.0  // at most, after an overload: traffic over the quotas goes first
	minQuotaMultiplier      = 0.2  // at least
	innerQuotaMultiplier    = 20.0 // behind the front: quotas count first attempts, and the front sheds load
	quotaIncrease           = 0.1  // added after a good round
	quotaRecovery           = 0.15 // the same below 1, where traffic is within the quotas
	fullBurstMultiplier     = 0.8  // from here on bursts are allowed for in full
	burstDeviations         = 2.0  // standard deviations of a Poisson count that are taken for chance
	minWindowCount          = 24.0 // a quota's window grows until it holds this many requests
	maxSlowFraction         = 0.3  // a larger fraction of slow calls lowers the quotas and leaves the zone
)

// tenantQuota is a rule of QPS grade: it limits the requests a second that are admitted for one tenant.
type tenantQuota struct {
	fraction float64       // of what all tenants may send
	admitted slidingWindow // requests
	arrivals decayingCount // requests
}

// admits reports whether the tenant may have one request more at rate requests a second. Windows grow beyond
// one second, so that fractional rates work, but not beyond the replica's age. burst is the chance that an
// excess which may be chance is admitted; u is uniform in [0, 1).
func (t *tenantQuota) admits(now, firstRequestAt Microseconds, rate, burst, u float64) bool {
	age := now - firstRequestAt
	span := second
	for span < windowLength && rate*float64(span/second) < minWindowCount && age >= span {
		span *= 2
	}
	admitted := t.admitted.sum(now, span)
	allowed := rate * float64(min(span, max(second, age))) / float64(second)
	return admitted+1 <= allowed+u || u < burst && admitted <= allowed+burstDeviations*math.Sqrt(allowed)
}

// tenantQuotas holds the quotas of all tenants, and by how much they are stretched or cut.
type tenantQuotas struct {
	tenants            []*tenantQuota // in the order of the settings
	fairRate           float64        // requests a second of all tenants within their quotas, at one replica
	arrivals           decayingCount  // requests of all tenants
	firstRequestAt     Microseconds   // 0: none yet
	multiplier         float64        // multiple of its quota that a tenant may pass
	maxMultiplier      float64
	overloadMultiplier float64 // the most that an overload leaves
	evidence           evidenceRound
}

// newTenantQuotas returns the quotas of a fresh replica.
func newTenantQuotas(tier int) tenantQuotas {
	if tier > 0 {
		return tenantQuotas{multiplier: innerQuotaMultiplier, maxMultiplier: innerQuotaMultiplier,
			overloadMultiplier: innerQuotaMultiplier}
	}
	return tenantQuotas{multiplier: initialQuotaMultiplier, maxMultiplier: initialQuotaMultiplier,
		overloadMultiplier: overloadQuotaMultiplier}
}

// recordArrival counts a request and returns its tenant's quota, nil if there is no such tenant.
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

// admits reports whether a tenant may have one request more; u is uniform in [0, 1).
func (q *tenantQuotas) admits(now Microseconds, t *tenantQuota, u float64) bool {
	rate := q.multiplier * q.fairRate * t.fraction
	return t.admits(now, q.firstRequestAt, rate, q.burstAllowance(now, t), u)
}

// burstAllowance is how likely an excess is taken for chance, which a single request is where few come. It
// is less while calls are slow, and 0 for a tenant that clearly sends more than its part of the quotas and,
// while nothing is slow, of what this replica gets, since traffic may move here.
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

// adjust takes a sample, and changes the multiplier by its round's signal.
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

// replaceTenants puts the tenants of new settings in force and keeps what was learned of those that stay.
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
		// A replica that carries more than its part learns a higher multiplier.
		q.fairRate += s.Tenants[i].RateQuota / float64(s.Replicas)
	}
	q.tenants = quotas
}
