// Package downstream is the proxy's HTTP server for clients: it reads and checks their requests, hands them to a Dispatcher,
// writes the responses that come back, answers health checks, and empties the proxy of clients in lame duck and at a
// shutdown. It knows nothing of endpoints.
package downstream

import (
	"time"

	"baylock/balancer"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Dispatcher has requests forwarded. Its methods are safe for concurrent use.
type Dispatcher interface {
	// Submit hands a request over. The dispatcher calls its Respond once, unless Done is closed first.
	Submit(*Request)
	// Cancel withdraws a request whose client has gone. Its response may have been given already.
	Cancel(*Request)
	// Done is closed when the dispatcher has stopped. Requests that have no response by then get none.
	Done() <-chan struct{}
	// Ready reports whether requests can be forwarded.
	Ready() bool
	// Settings returns the settings in force.
	Settings() Settings
}

// Settings is an immutable snapshot of the settings that requests are parsed under.
type Settings interface {
	// Class returns a class of requests and its index in the balancer's settings.
	Class(name string) (class balancer.Class, index int, ok bool)
	// TenantIndex returns the index of a tenant in the balancer's settings, or -1 if they do not name it.
	TenantIndex(name string) int
}

// Request is a client's request. The server sets its fields before Submit; from then on the dispatcher owns them.
type Request struct {
	balancer.Request
	Forwarded   *upstream.Request     // the request as endpoints get it
	ClassName   string                // of Class
	Idempotency balancer.Idempotency  // of Class when the request was parsed
	TenantName  string                // of Tenant, as the client gave it
	CompletedAt balancer.Microseconds // when its last byte arrived, or when it was submitted where Forwarded.Stream is set
	Timeout     time.Duration         // from CompletedAt until Deadline

	response chan Response // buffers the one response
}

// NewRequest returns a Request that Respond can be called on.
func NewRequest() *Request { return &Request{response: make(chan Response, 1)} }

// Respond gives the request its response. It is called once, and does not block.
func (r *Request) Respond(response Response) { r.response <- response }

// Response is the final response to a request.
type Response struct {
	Status      int // HTTP status; 0 for no response, where the client has gone
	ContentType string
	Body        []byte
	Stream      *message.ResponseStream // in place of Body, for a response that is forwarded as it arrives
	RetryAfter  balancer.Microseconds   // for status 503: when the client should retry; 0 for no hint
}
