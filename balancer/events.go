package balancer

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Removed  EndpointState = iota // no longer listed
	Ready                         // may get attempts
	Draining                      // listed, but gets no new attempts
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	State     EndpointState
	Capacity  float64      // relative to other endpoints; used with Settings.CapacityHints
	StartedAt Microseconds // when its process last started; 0: long ago
}

// UpdateKind states what an update of the endpoint list contains.
type UpdateKind int

// The kinds of update.
const (
	IncrementalUpdate UpdateKind = iota // changed entries only
	FullUpdate                          // the complete list
	CachedUpdate                        // the last known complete list, possibly stale
	FailedUpdate                        // a poll or the subscription failed; the old list stays in use
)

// Request is a request that a client has sent to this proxy.
type Request struct {
	ID       string
	Class    int          // index into Settings.Classes
	Tenant   int          // index into Settings.Tenants; out of range: no tenant
	Key      string       // the ordering key for Class.OrderedByKey; may be empty
	Deadline Microseconds // when the client stops waiting

	// ClientConnections is the number of open client connections if clients cannot open any more, and 0 if
	// they can. IdleConnections is how many of these connections carry no request.
	ClientConnections, IdleConnections int
	// Streaming means that the body is forwarded while it is still being received. No endpoint can start
	// to process the request before RequestUploaded.
	Streaming bool
}

// Status is the result of an attempt.
type Status int

// The results of an attempt. ConnectFailed and NotAttempted prove that it never ran. So does Rejected, unless
// Settings.RejectedMayRun is set.
const (
	OK            Status = iota
	Error                // the endpoint responded with a failure
	Rejected             // the endpoint refused the attempt for lack of capacity
	TimedOut             // no response within the timeout
	ConnectFailed        // no connection could be established
	Reset                // the connection broke
	Cancelled            // the proxy abandoned the attempt
	NotAttempted         // nothing was sent
)

// Outcome is the end of an attempt. Each Host.Send is followed by exactly one Outcome.
type Outcome struct {
	ID           string // the request's ID
	Attempt      int    // 0 for the first Send of a request
	Status       Status
	Latency      Microseconds // from the send to the end
	RequestDone  bool         // the request has ended; otherwise the client still waits for a response
	BodyConsumed bool         // part of the body is no longer available, so it cannot be sent again

	// Undeliverable tells that the response cannot be delivered before the process ends. Neither could that of a retry.
	Undeliverable bool
}
