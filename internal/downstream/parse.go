package downstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"baylock/balancer"
	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Headers of a request.
const (
	idHeader             = "Request-Id"
	classHeader          = "Request-Class"
	timeoutHeader        = "Request-Timeout-Ms"
	tenantHeader         = "Tenant"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	maxIDLength  = 128 // bytes
	maxTimeoutMs = 1e9 // larger values are taken as this one, far over any deadline

	// A response has to leave this long before its client gives up, so that a busy core does not make it late. Short
	// timeouts are reduced by a fraction only: one part in so many.
	responseMargin         = 30 * time.Millisecond
	responseMarginFraction = 8
)

var singleHeaders = []string{idHeader, classHeader, timeoutHeader, tenantHeader, idempotencyKeyHeader}

// requestError is why a request is rejected before it is submitted.
type requestError struct {
	status        int // HTTP status of the response
	reason        string
	allowedMethod string // for status 405
}

func (e *requestError) Error() string { return e.reason }

func badRequest(reason string) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: reason}
}

// parse checks a request and reads its body, or the part of it that is buffered. It fails with a *requestError.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (*Request, error) {
	connection := clientconn.FromContext(r.Context())
	if err := checkMessage(r, connection); err != nil {
		return nil, err
	}
	request, err := parseHead(r, s.dispatcher.Settings())
	if err != nil {
		return nil, err
	}
	request.Forwarded = &upstream.Request{
		Method:      r.Method,
		URI:         r.RequestURI,
		Host:        r.Host,
		Reservation: s.budget.Reserve(),
		ClientGone:  func() bool { return connection != nil && connection.ClientGone() },
	}
	if err := readBody(w, r, request.Forwarded, connection, arrivedAt); err != nil {
		request.Forwarded.Reservation.Release()
		return nil, err
	}
	request.Forwarded.Header = forwardedHeader(r.Header)
	request.Streaming = request.Forwarded.Stream != nil
	request.CompletedAt = s.clock.Now()
	request.Deadline = s.clock.At(time.Now().Add(request.Timeout))
	return request, nil
}

// checkMessage checks what holds for requests whatever the settings.
func checkMessage(r *http.Request, connection *clientconn.Conn) error {
	if !r.ProtoAtLeast(1, 1) { // net/http drops their Transfer-Encoding
		return &requestError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 && (connection == nil || !connection.HasValidFraming()) {
		return badRequest("the length is given in two ways")
	}
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return badRequest(name + " is given twice")
		}
	}
	return nil
}

// parseHead checks a request's head against the settings. The result lacks what takes a body to know.
func parseHead(r *http.Request, settings Settings) (*Request, error) {
	className := r.Header.Get(classHeader)
	class, classIndex, ok := settings.Class(className)
	if !ok {
		return nil, badRequest("unknown Request-Class")
	}
	firstSegment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != className || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, badRequest("the path does not begin with the class")
	}
	id := r.Header.Get(idHeader)
	if id == "" || len(id) > maxIDLength {
		return nil, badRequest("no Request-Id, or a long one")
	}
	if err := checkIdempotency(r, class.Idempotency); err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader), class.Deadline.Duration())
	if err != nil {
		return nil, err
	}
	if err := checkLength(r); err != nil {
		return nil, err
	}
	request := NewRequest()
	request.ClassName, request.Idempotency, request.Timeout = className, class.Idempotency, timeout
	request.TenantName = r.Header.Get(tenantHeader)
	request.Request = balancer.Request{
		ID:     id,
		Class:  classIndex,
		Tenant: settings.TenantIndex(request.TenantName),
		Key:    rest[strings.LastIndexByte(rest, '/')+1:],
	}
	return request, nil
}

// checkIdempotency checks that the method and the idempotency key fit the class.
func checkIdempotency(r *http.Request, idempotency balancer.Idempotency) error {
	method := http.MethodPost
	if idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &requestError{status: http.StatusMethodNotAllowed, reason: "wrong method for the class", allowedMethod: method}
	}
	hasKey := r.Header.Get(idempotencyKeyHeader) != ""
	if hasKey != (idempotency == balancer.IdempotentWithKey) {
		return badRequest("Idempotency-Key does not fit the class")
	}
	return nil
}

// parseTimeout returns how long the proxy may take for a request. 0 ms is valid: a caller may have less than one left.
func parseTimeout(header string, deadline time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 0 {
		return 0, badRequest("Request-Timeout-Ms is no time")
	}
	timeout := min(deadline, time.Duration(min(ms, maxTimeoutMs))*time.Millisecond)
	return timeout - min(responseMargin, timeout/responseMarginFraction), nil
}

func checkLength(r *http.Request) error {
	if r.ContentLength > message.MaxBody {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	if r.ContentLength != 0 && r.Method == http.MethodGet {
		return badRequest("a body on a GET")
	}
	return nil
}

// forwardedHeader removes the headers that concern one connection, and leaves the framing of the body to net/http.
func forwardedHeader(header http.Header) http.Header {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		delete(header, name)
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // net/http adds none of its own
	}
	return header
}
