package balancer

// Idle connections are reserved where clients can open no more, since a client that finds none idle takes the
// proxy for dead, while a rejected one can go on at once.
const (
	idleConnectionDivisor = 8 // one in so many connections
	minIdleConnections    = 3 // at least, but no more than half of them
)

// admits checks the rules in their order: idle connections, the tier, the tenant, the class.
func (b *Balancer) admits(now Microseconds, req *request) bool {
	if !req.leavesIdleConnections() || !b.tierLimit.admits(b.random.Float64()) {
		return false
	}
	if req.quota != nil && !b.quotas.admits(now, req.quota, b.random.Float64()) {
		return false
	}
	return req.classState.limit.admits(b.random.Float64())
}

// leavesIdleConnections reports whether clients have idle connections enough beside the request's.
func (req *request) leavesIdleConnections() bool {
	reserved := min(minIdleConnections, req.ClientConnections/2)
	return req.IdleConnections >= max(req.ClientConnections/idleConnectionDivisor, reserved)
}
