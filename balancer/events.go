package balancer

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The states of an endpoint.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	State     EndpointState
	Capacity  float64      // relative to other endpoints, with Settings.CapacityHints
	StartedAt Microseconds // when its process last started; 0: long ago
}

// UpdateKind is what an update of the endpoint list holds.
type UpdateKind int

// The kinds of update.
const (
	IncrementalUpdate UpdateKind = iota // changed entries only
	FullUpdate                          // the complete list
	CachedUpdate                        // the complete list as last known, possibly stale
	FailedUpdate                        // a poll or the subscription failed; the old list stands
)

// Request is a request that a client has sent to this proxy.
type Request struct {
	ID       string
	Class    int          // index into Settings.Classes
	Tenant   int          // index into Settings.Tenants; out of range: no tenant
	Key      string       // the key by which Class.OrderedByKey orders; may be empty
	Deadline Microseconds // when the client abandons it

	// ClientConnections is how many connections clients have where they can open no more, and 0 where they
	// can. IdleConnections is how many of these carry no request.
	ClientConnections, IdleConnections int
	// Streaming: the body is still being received and is forwarded meanwhile. No endpoint can begin before
	// RequestUploaded.
	Streaming bool
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt. ConnectFailed and NotAttempted prove that it never ran, and so does Rejected
// unless Settings.RejectedMayRun is set.
const (
	OK            Status = iota
	Error                // the endpoint answered with a failure
	Rejected             // the endpoint refused it for lack of capacity
	TimedOut             // no answer within the time-out
	ConnectFailed        // no connection
	Reset                // the connection broke
	Cancelled            // the proxy gave it up
	NotAttempted         // nothing of it was sent
)

// Outcome is the end of an attempt; each Host.Send gets exactly one.
type Outcome struct {
	ID           string // of the request
	Attempt      int    // 0 for the first Send of a request
	Status       Status
	Latency      Microseconds // from the send to the end
	RequestDone  bool         // the request is over; otherwise the client still waits for its answer
	BodyConsumed bool         // a part of the body is gone, so that it cannot be sent again
}
