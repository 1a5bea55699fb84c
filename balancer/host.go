package balancer

// Host carries out the decisions of a Balancer. Its methods are called from within event methods. They must
// return immediately and must not call back into the Balancer.
type Host interface {
	// Send forwards a request to an endpoint and abandons the attempt after timeout; a timeout of 0 stands
	// for the client's deadline. If the last byte of the request cannot reach the endpoint before
	// dedupDeadline, no byte of it may be sent; a dedupDeadline of 0 means that there is no such deadline.
	Send(id, endpoint string, timeout, dedupDeadline Microseconds)
	// Reject ends a request without serving it. The client may safely retry it after retryAfter.
	Reject(id string, retryAfter Microseconds)
	// Fail ends a request with a failure. The client must not assume that the request never ran.
	Fail(id string)
	// SetTimer requests a TimerFired event with the token after delay. Timers cannot be stopped.
	SetTimer(delay Microseconds, token string)
	// Subscribe opens the subscription to the endpoint list.
	Subscribe()
	// Log writes a line for on-call staff.
	Log(line string)
}
