package balancer

import "fmt"

// reportInterval is the minimum time between two log lines of a replica.
const reportInterval = 10 * second

// reporter limits how often a replica logs.
type reporter struct {
	reportedAt Microseconds // when the last line was logged; 0 if never
}

// due reports whether a line may be logged now.
func (r *reporter) due(now Microseconds) bool {
	return r.reportedAt == 0 || now-r.reportedAt >= reportInterval
}

// report logs a line for on-call staff, at most once per reportInterval, while the quota multiplier is so low
// that traffic within the quotas is rejected.
func (b *Balancer) report(now Microseconds, host Host) {
	if b.quotas.multiplier >= 1 || !b.reporter.due(now) {
		return
	}
	b.reporter.reportedAt = now
	host.Log(fmt.Sprintf("tier %d: calls are slow or fail; tenants limited to %.2f of their quotas, "+
		"%d calls in flight, %.0f%% of calls fail, other zones weigh %.2f",
		b.settings.Tier, b.quotas.multiplier, b.tierLimit.inFlight, 100*b.outliers.errorRate,
		b.zones.crossZoneWeight))
}
