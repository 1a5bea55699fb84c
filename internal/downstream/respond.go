package downstream

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"baylock/balancer"
	"baylock/internal/clientconn"
	"baylock/internal/message"
)

const microsecondsPerSecond = 1e6

// rejectInvalid writes the error response to a request that parse has rejected.
func (s *Server) rejectInvalid(w http.ResponseWriter, err error) {
	invalid, ok := errors.AsType[*requestError](err)
	if !ok {
		invalid = badRequest(err.Error())
	}
	if invalid.allowedMethod != "" {
		w.Header().Set("Allow", invalid.allowedMethod)
	}
	// net/http reads the rest of the body before it closes the connection, and that rest may never arrive.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(message.DiscardTimeout))
	s.writeBuffered(w, Response{Status: invalid.status, ContentType: "text/plain", Body: []byte(invalid.reason + "\n")})
}

// respond writes a response. upload is the request's streamed body, or nil.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, upload *message.RequestStream, response Response) {
	if response.Status == 0 {
		panic(http.ErrAbortHandler) // returning would make net/http answer 200
	}
	if upload != nil && !upload.Ended() {
		w.Header().Set("Connection", "close")
	}
	if response.Stream != nil {
		s.writeStream(w, r, response)
	} else {
		s.writeBuffered(w, response)
	}
	if upload != nil {
		upload.Discard()
	}
}

func (s *Server) writeBuffered(w http.ResponseWriter, response Response) {
	// After an invalid request, the next bytes on the connection need not be the start of another request.
	invalid := response.Status >= 400 && response.Status < 500
	s.setHeader(w.Header(), response.ContentType, int64(len(response.Body)), invalid)
	if response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(response.RetryAfter))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails if the client has disconnected, which needs no handling
}

// writeStream forwards a response as it arrives. If the response is cut short, writeStream aborts the connection, so
// that the client notices.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, response Response) {
	stream, err := response.Stream, http.ErrAbortHandler
	defer func() { stream.Done <- err }()
	s.setHeader(w.Header(), response.ContentType, stream.Length, false)
	if connection := clientconn.FromContext(r.Context()); connection != nil {
		connection.LimitWriteStalls(message.WriteStallTimeout)
	}
	if err = stream.Deliver(r.Context(), w); err != nil {
		s.log.Warn("answer not finished", "id", r.Header.Get(idHeader), "error", err)
		panic(http.ErrAbortHandler)
	}
}

// setHeader sets the headers that all responses have. length is the body's length in bytes, or -1 if it is unknown.
func (s *Server) setHeader(header http.Header, contentType string, length int64, closeConnection bool) {
	if closeConnection || s.closeAfterResponse.Load() {
		header.Set("Connection", "close")
	}
	header["Content-Type"] = nil // keeps net/http from guessing it
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

func formatSeconds(duration balancer.Microseconds) string {
	return strconv.FormatFloat(float64(duration)/microsecondsPerSecond, 'f', 3, 64)
}
