package downstream

import (
	"errors"
	"net/http"
	"time"

	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// readBody buffers a request's body. A body that is too long for that is left in request.Stream, to be forwarded as it
// arrives. Its errors are of type *requestError.
func readBody(w http.ResponseWriter, r *http.Request, request *upstream.Request, connection *clientconn.Conn,
	arrivedAt time.Time) error {
	bodyRead := func() {
		r.Trailer = nil // received trailers are not forwarded
		if connection != nil {
			connection.RequestRead()
		}
	}
	r.Trailer = nil // announced trailers are not needed, and a head can announce thousands
	control := http.NewResponseController(w)
	stream := message.NewRequestStream(r.Body, r.ContentLength, control, bodyStart(connection, arrivedAt))
	if connection != nil {
		stream.SetInput(connection)
		if r.ContentLength < 0 { // it may be long
			connection.TrackWaits()
		}
	}
	body, complete, err := stream.Buffer(request.Reservation)
	if errors.Is(err, message.ErrTooLong) {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	}
	if err != nil {
		return badRequest("the body is incomplete or malformed")
	}
	request.Body = body
	if complete {
		bodyRead()
		// Until the response is written, net/http keeps reading to notice when the client disconnects. That read must
		// not time out.
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	if connection != nil {
		connection.TrackWaits()
	}
	request.Stream = stream
	stream.SetEndHook(bodyRead)
	_ = control.EnableFullDuplex() // the response may begin before the body has ended
	return nil
}

// bodyStart returns the reference time for the minimum rate of a body. The first bytes of the body are due
// message.FirstBytesTimeout after it. For a connection's first request, this is FirstRequestTimeout after the accept, but
// at least message.FirstBytesTimeout after the arrival of the head; for later requests, headTimeout after that arrival.
func bodyStart(connection *clientconn.Conn, arrivedAt time.Time) time.Time {
	if connection == nil || connection.ServedRequest() {
		return arrivedAt.Add(headTimeout - message.FirstBytesTimeout)
	}
	start := connection.AcceptedAt().Add(FirstRequestTimeout - message.FirstBytesTimeout)
	if start.Before(arrivedAt) {
		return arrivedAt
	}
	return start
}
