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
	maxTimeoutMs = 1e9 // larger values are reduced to this one, which is far above any deadline

	// responseMargin is how long before the client's timeout a response has to be sent, so that a busy core does not make
	// it late. Short timeouts are reduced by only one part in responseMarginDivisor.
	responseMargin        = 30 * time.Millisecond
	responseMarginDivisor = 8
)

// singleValueHeaders may occur only once in a request.
var singleValueHeaders = []string{idHeader, classHeader, timeoutHeader, tenantHeader, idempotencyKeyHeader}

// requestError is the reason for rejecting a request before it is submitted.
type requestError struct {
	status        int // HTTP status of the response
	reason        string
	allowedMethod string // for status 405; the value of the Allow header
}

func (e *requestError) Error() string { return e.reason }

func badRequest(reason string) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: reason}
}

// parse validates a request and reads its body, or the part of it that is buffered. Its errors are of type *requestError.
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

// checkMessage checks the protocol version, the framing and the headers, none of which depend on the settings.
func checkMessage(r *http.Request, connection *clientconn.Conn) error {
	if !r.ProtoAtLeast(1, 1) { // net/http drops the Transfer-Encoding of older versions
		return &requestError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is required"}
	}
	if len(r.TransferEncoding) > 0 && (connection == nil || !connection.HasValidFraming(requestLine(r))) {
		return badRequest("Content-Length and Transfer-Encoding conflict")
	}
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return badRequest(name + " occurs more than once")
		}
	}
	return nil
}

// requestLine returns the first line of a request, as it was received.
func requestLine(r *http.Request) string { return r.Method + " " + r.RequestURI + " " + r.Proto }

// parseHead validates a request's head against the settings. It leaves unset the fields that depend on the body.
func parseHead(r *http.Request, settings Settings) (*Request, error) {
	className := r.Header.Get(classHeader)
	class, classIndex, ok := settings.Class(className)
	if !ok {
		return nil, badRequest("unknown Request-Class")
	}
	firstSegment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != className || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, badRequest("the path does not begin with the request class")
	}
	id := r.Header.Get(idHeader)
	if id == "" || len(id) > maxIDLength {
		return nil, badRequest("Request-Id is missing or too long")
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
	request.StreamedResponse = class.StreamedResponse
	request.TenantName = r.Header.Get(tenantHeader)
	request.Request = balancer.Request{
		ID:     id,
		Class:  classIndex,
		Tenant: settings.TenantIndex(request.TenantName),
		Key:    rest[strings.LastIndexByte(rest, '/')+1:],
	}
	return request, nil
}

// checkIdempotency checks that the method and the idempotency key are those that the class requires.
func checkIdempotency(r *http.Request, idempotency balancer.Idempotency) error {
	method := http.MethodPost
	if idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &requestError{status: http.StatusMethodNotAllowed, reason: "wrong method for the request class",
			allowedMethod: method}
	}
	hasKey := r.Header.Get(idempotencyKeyHeader) != ""
	if hasKey != (idempotency == balancer.IdempotentWithKey) {
		return badRequest("Idempotency-Key is missing, or not allowed for the request class")
	}
	return nil
}

// parseTimeout returns how long the proxy may take for a request: the client's timeout, at most the class's deadline, less
// the margin for the response. 0 ms is valid, since a client may have less than 1 ms left.
func parseTimeout(header string, deadline time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 0 {
		return 0, badRequest("Request-Timeout-Ms is not a valid number of milliseconds")
	}
	timeout := min(deadline, time.Duration(min(ms, maxTimeoutMs))*time.Millisecond)
	return timeout - min(responseMargin, timeout/responseMarginDivisor), nil
}

func checkLength(r *http.Request) error {
	if r.ContentLength > message.MaxBody {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	if r.ContentLength != 0 && r.Method == http.MethodGet {
		return badRequest("a GET request must not have a body")
	}
	return nil
}

// forwardedHeader removes the hop-by-hop headers and those that frame the body, which net/http sets itself.
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
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return header
}
