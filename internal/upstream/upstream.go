// Package upstream sends requests to endpoints. A Pool keeps the connections to all listed endpoints and hedges slow
// dials. An Attempt sends a request to one endpoint, at most once, and reports a Result that says whether the endpoint
// may have run the request. The caller decides whether to retry. Unlike http.Transport, which resends an idempotent
// request if its connection turns out to be closed, this package never sends a request twice by itself.
package upstream

import (
	"net/http"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

// Request is a client's request in the form in which it is forwarded. Its attempts share it, one at a time.
type Request struct {
	Method      string
	URI         string // path and query, unchanged
	Host        string
	Header      http.Header            // without hop-by-hop and framing fields; each attempt sets Request-Timeout-Ms
	Body        []byte                 // the buffered part of the body
	Stream      *message.RequestStream // the rest of the body; nil if all of it is buffered
	Reservation *message.Reservation   // memory reserved for buffered bodies; nil means no limit
	ClientGone  func() bool            // reports whether the client has closed its connection
}

// Result describes the outcome of an attempt.
type Result struct {
	Status        balancer.Status
	ClientFault   int    // HTTP status if the failure is the client's fault, whichever endpoint is used; else 0
	ClientGone    bool   // the client had closed its connection before the request was completely sent
	UploadOverdue bool   // the endpoint had not accepted the whole request when the client's timeout ended
	BodyConsumed  bool   // part of the body can no longer be read, so the request cannot be sent again
	Body          []byte // body of a buffered 200 response
	ContentType   string // Content-Type of a buffered 200 response

	connectionUnusable bool // nothing was sent, because the connection was closed or had unread bytes
}

// Observer is notified of the progress of an attempt. Its methods are called on the goroutine of Attempt.Run.
type Observer interface {
	// UploadFinished is called when the last byte of a streamed request has been written, at the given time. earliestEnd is
	// the earliest time at which the client can have written that byte. It returns the deadline for the response.
	UploadFinished(at, earliestEnd time.Time) (deadline time.Time)

	// MayForward reports whether a response may be forwarded as it arrives. If not, a short response is buffered until it is
	// complete, however slowly it arrives.
	MayForward() bool

	// RequestDeadline returns the deadline of the request, which may be later than that of the attempt. It is called after
	// UploadFinished.
	RequestDeadline() time.Time

	// ResponseStarted hands over a response that is forwarded as it arrives. The attempt lasts until a value is sent on
	// the response's Done channel or the attempt's context ends.
	ResponseStarted(*message.ResponseStream)
}
