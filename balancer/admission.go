package balancer

// Where clients can open no more connections, this part of them and at least so many are kept idle, but no
// more than half. A client that finds none idle takes the proxy for dead; a rejected one can go on at once.
const (
	idleConnectionPart = 8 // one in so many
	minIdleConnections = 3
)

// admits checks the rules in their order: idle connections, the tier, the tenant, the class.
func (b *Balancer) admits(now Microseconds, req *request) bool {
	if !req.leavesIdleConnections() || !b.tierLimit.admits(b.random.Float64()) {
		return false
	}
	if req.quota != nil && !b.quotas.admits(now, req.quota, b.random.Float64()) {
		return false
	}
	return req.state.limit.admits(b.random.Float64())
}

// leavesIdleConnections tells whether clients have idle connections enough beside the request's.
func (req *request) leavesIdleConnections() bool {
	connections := req.ClientConnections
	return req.IdleConnections >= max(connections/idleConnectionPart, min(minIdleConnections, connections/2))
}
