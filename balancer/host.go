package balancer

// Host carries out what a Balancer decides. Its methods are called from inside event methods, return at
// once and must not call back into the Balancer.
type Host interface {
	// Send forwards a request to an endpoint and gives the attempt up after timeout; 0 means the client's
	// deadline. Its last byte must reach the endpoint before dedupDeadline, or nothing of it may be sent; 0
	// sets no such deadline.
	Send(id, endpoint string, timeout, dedupDeadline Microseconds)
	// Reject ends a request unserved. The client may safely retry it after the given time.
	Reject(id string, retryAfter Microseconds)
	// Fail ends a request. The client must not assume that it never ran.
	Fail(id string)
	// SetTimer requests a TimerFired event with the token after delay. Timers cannot be stopped.
	SetTimer(delay Microseconds, token string)
	// Subscribe opens the subscription to the endpoint list.
	Subscribe()
	// Log writes a line for on-call staff.
	Log(line string)
}
