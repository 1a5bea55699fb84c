// Package downstream is the proxy's HTTP server for clients. It reads and validates requests, passes them to a Dispatcher,
// writes the responses, answers health checks, and drains client connections in lame duck mode and during a shutdown. It
// does not deal with endpoints.
package downstream

import (
	"time"

	"baylock/balancer"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Dispatcher forwards requests to endpoints. Its methods are safe for concurrent use.
type Dispatcher interface {
	// Submit passes a request to the dispatcher, which calls its Respond method once unless Done is closed first.
	Submit(*Request)
	// Cancel is called when the client of a request has disconnected, possibly more than once. Respond may already have been
	// called for it.
	Cancel(*Request)
	// Done returns a channel that is closed when the dispatcher has stopped. Requests without a response by then get none.
	Done() <-chan struct{}
	// Ready reports whether requests can be forwarded.
	Ready() bool
	// Settings returns the settings in force.
	Settings() Settings
}

// Settings is an immutable snapshot of the settings that are used to parse requests.
type Settings interface {
	// Class returns the request class with this name and its index in the balancer's settings.
	Class(name string) (class balancer.Class, index int, ok bool)
	// TenantIndex returns the index of a tenant in the balancer's settings, or -1 if it is not listed there.
	TenantIndex(name string) int
}

// Request is a client's request. The server sets its fields before Submit; from then on the dispatcher owns them.
type Request struct {
	balancer.Request
	Forwarded        *upstream.Request     // the request as it is sent to endpoints
	ClassName        string                // name of the class that Class is the index of
	Idempotency      balancer.Idempotency  // of the class when the request was parsed
	StreamedResponse bool                  // of the class when the request was parsed
	TenantName       string                // as sent by the client; Tenant is its index
	CompletedAt      balancer.Microseconds // when its last byte arrived, or if Forwarded.Stream is set, when it was submitted
	Timeout          time.Duration         // from CompletedAt until Deadline
	PossiblyRan      bool                  // an endpoint may have run it; set by the dispatcher

	response chan Response // has room for the one response
}

// NewRequest returns a Request whose Respond method can be called.
func NewRequest() *Request { return &Request{response: make(chan Response, 1)} }

// Respond delivers the response to the request. It must be called only once and does not block.
func (r *Request) Respond(response Response) { r.response <- response }

// Response is the final response to a request.
type Response struct {
	Status      int // HTTP status; 0 if the client has disconnected and gets no response
	ContentType string
	Body        []byte
	Stream      *message.ResponseStream // used instead of Body for a response that is forwarded as it arrives
	RetryAfter  balancer.Microseconds   // for status 503: when the client should retry; 0 for no hint
}
