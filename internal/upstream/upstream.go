// Package upstream sends requests to endpoints: it keeps the connections to all listed endpoints, races late dials, and
// carries out single attempts, each of which sends a request at most once and reports a typed result. It never retries
// by itself; http.Transport would, for idempotent requests on a connection that turns out to be dead.
package upstream

import (
	"net/http"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

// Request is a client's request as it is forwarded. It outlives single attempts.
type Request struct {
	Method      string
	URI         string // path and query, unchanged
	Host        string
	Header      http.Header            // without the headers of the client's connection
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

// Observer receives what happens while an attempt is in flight. Its methods are called on the attempt's goroutine and
// must not wait for the attempt.
type Observer interface {
	// UploadFinished is called when the last byte of a streamed request has been written. It returns the deadline for
	// the response.
	UploadFinished(at time.Time) (deadline time.Time)

	// ResponseStarted is called with a response that is forwarded as it arrives. The attempt ends after it is delivered.
	ResponseStarted(*message.ResponseStream)
}
