package balancer

// Where clients cannot open more connections, some connections are kept idle. A client that finds none idle
// assumes that the proxy is dead, while a client whose request is rejected can continue immediately.
const (
	idleConnectionDivisor = 8 // one in eight connections is kept idle
	minIdleConnections    = 3 // lower bound, itself at most half of the connections
)

// admits checks the admission rules in this order: idle connections, tier limit, tenant quota, class limit.
func (b *Balancer) admits(now Microseconds, req *request) bool {
	if !req.leavesIdleConnections() || !b.tierLimit.admits(b.random.Float64()) {
		return false
	}
	if req.quota != nil && !b.quotas.admits(now, req.quota, b.random.Float64()) {
		return false
	}
	return req.classState.limit.admits(b.random.Float64())
}

// leavesIdleConnections reports whether clients have enough idle connections besides the one that carries
// this request.
func (req *request) leavesIdleConnections() bool {
	reserved := min(minIdleConnections, req.ClientConnections/2)
	return req.IdleConnections >= max(req.ClientConnections/idleConnectionDivisor, reserved)
}
