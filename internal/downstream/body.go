package downstream

import (
	"errors"
	"net/http"
	"time"

	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// readBody buffers a request's body, or leaves one that is too long for that to be streamed. It fails with a *requestError.
func readBody(w http.ResponseWriter, r *http.Request, request *upstream.Request, connection *clientconn.Conn,
	arrivedAt time.Time) error {
	control := http.NewResponseController(w)
	stream := message.NewRequestStream(r.Body, r.ContentLength, control, bodyStart(connection, arrivedAt))
	body, complete, err := stream.Buffer(request.Reservation)
	if errors.Is(err, message.ErrTooLong) {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	}
	if err != nil {
		return badRequest("the body broke off")
	}
	request.Body = body
	if complete {
		if connection != nil {
			connection.RequestRead()
		}
		// While the response is awaited net/http reads on, to notice a client that disconnects; that has no deadline.
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	request.Stream = stream
	if connection != nil {
		stream.SetEndHook(connection.RequestRead)
	}
	_ = control.EnableFullDuplex() // a response may be due before the body has ended
	return nil
}

// bodyStart is the time from which the first bytes of a body have message.FirstBytesTimeout.
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
