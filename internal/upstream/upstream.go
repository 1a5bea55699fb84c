// Package upstream sends requests to endpoints. A Pool keeps the connections to all listed endpoints and hedges dials
// that are late. An Attempt sends a request to one endpoint, at most once, and reports a Result that says whether the
// request may have run. Whether to retry is the caller's decision: nothing here sends a request twice, as http.Transport
// does with an idempotent one on a connection that turns out to be closed.
package upstream

import (
	"net/http"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

// Request is a client's request as it is forwarded. Its attempts share it, one after the other.
type Request struct {
	Method      string
	URI         string // path and query, unchanged
	Host        string
	Header      http.Header            // without those of the client's connection; attempts set Request-Timeout-Ms
	Body        []byte                 // the buffered part of the body
	Stream      *message.RequestStream // the rest of the body; nil if all of it is buffered
	Reservation *message.Reservation   // memory of buffered bodies; nil for no limit
	ClientGone  func() bool            // reports whether the client has closed its connection
}

// Result is how an attempt ended.
type Result struct {
	Status       balancer.Status
	ClientFault  int    // HTTP status to answer if the client is at fault, whichever endpoint gets the request; else 0
	ClientGone   bool   // the client had closed its connection before anything was sent
	BodyConsumed bool   // part of the body can no longer be read, so that the request cannot be sent again
	Body         []byte // of a buffered 200 response
	ContentType  string // of a buffered 200 response

	connectionClosed bool // nothing was sent, since the connection was closed or had something to read
}

// Observer is notified of the progress of an attempt. Its methods are called on the goroutine of Attempt.Run.
type Observer interface {
	// UploadFinished is called when the last byte of a streamed request has been written. It returns the deadline for
	// the response.
	UploadFinished(at time.Time) (deadline time.Time)

	// ResponseStarted hands over a response that is forwarded as it arrives. The attempt lasts until the response's Done
	// receives, or its context ends.
	ResponseStarted(*message.ResponseStream)
}
