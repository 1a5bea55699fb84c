package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

const (
	notStartedHeader  = "Not-Started" // 1 means that the request was rejected before it ran
	contentTypeHeader = "Content-Type"

	maxResponseHead  = 8 << 10 // bytes
	maxInformational = 8       // 1xx responses before the final one

	// forwardAfter is how long a response of unknown length is buffered. If it is not complete by then, it is forwarded as it
	// arrives. If the deadline comes before that and the request cannot be sent again, it is forwarded at once.
	forwardAfter = 500 * time.Millisecond
)

// ResponseStallTimeout is the usual value of Attempt.StallTimeout. It is twice as long as a healthy backend may pause.
const ResponseStallTimeout = time.Second

// Errors for responses that cannot be trusted.
var (
	errNoResponse           = errors.New("no response")
	errConflictingFraming   = errors.New("response head has conflicting body framings")
	errNestedHead           = errors.New("response head contains a second status line")
	errTooManyInformational = errors.New("too many informational responses")
)

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]\b`)

// readResponse reads the response. A short response is read completely before it is passed on, so that the client never
// receives a broken one; a longer response is forwarded as it arrives. stallTimeout limits each wait for further bytes of
// the response until it is forwarded; 0 means that only the attempt's deadline limits them. keep reports whether the
// connection can be reused.
func (a *Attempt) readResponse(ctx context.Context, c *conn, stallTimeout time.Duration) (result Result, keep bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return Result{}, false, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	c.limitReads(readLimits{stallTimeout: stallTimeout, deadline: a.Deadline})
	// The body is never closed, because Close would read the rest of it. Closing the connection drops unread bytes.
	response, err := a.readFinalHead(c)
	if err != nil {
		return Result{}, false, fmt.Errorf("read response: %w", err)
	}
	if endsWithConnection(response) && response.StatusCode != http.StatusOK {
		// The body is not needed, and bytes of another response could not be told from it.
		return classify(response, nil, false), false, nil
	}
	if response.ContentLength > message.MaxBody {
		return Result{Status: balancer.Error}, false, nil
	}
	body, complete, err := message.ReadBuffered(response.Body, response.ContentLength, a.Request.Reservation,
		a.bufferUntil(response))
	if err != nil {
		return Result{}, false, fmt.Errorf("read response body: %w", err)
	}
	if !complete && response.StatusCode == http.StatusOK {
		result, keep = a.forward(ctx, c, response, body)
		return result, keep, nil
	}
	quiet := c.reader.Buffered() == 0
	return classify(response, body, quiet), complete && !response.Close && quiet, nil
}

// endsWithConnection reports whether a response has neither a length nor chunks, so that its body ends when the endpoint
// closes its side of the connection (RFC 9112, section 6.3). If the connection is reset instead, the body is incomplete,
// and reading it fails.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// bufferUntil returns when a response that has not arrived completely is forwarded as it arrives, or zero for never. A
// response that is known to be short is due as a whole, unless it is streamed.
func (a *Attempt) bufferUntil(response *http.Response) time.Time {
	isDueAsWhole := response.ContentLength >= 0 && !a.StreamedResponse
	if isDueAsWhole || a.Observer != nil && !a.Observer.MayForward() {
		return time.Time{}
	}
	now := time.Now()
	until := now.Add(forwardAfter)
	if a.StallTimeout == 0 && a.Deadline.Before(until) {
		return now
	}
	return until
}

// readFinalHead skips informational (1xx) responses and returns the final response, with its body unread.
func (a *Attempt) readFinalHead(c *conn) (*http.Response, error) {
	for range maxInformational + 1 {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: a.Request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			dropUnusedFields(response)
			return response, nil
		}
	}
	return nil, errTooManyInformational
}

// dropUnusedFields frees the memory of a response's header but for the fields that are used. A head can have more than a
// thousand fields, and the body may take long to arrive. The fields that remain are copied, because those that net/http
// parses share their memory.
func dropUnusedFields(response *http.Response) {
	used := http.Header{}
	for _, name := range []string{notStartedHeader, contentTypeHeader} {
		if value := response.Header.Get(name); value != "" {
			used.Set(name, value)
		}
	}
	response.Header, response.Trailer = used, nil
}

// checkHead checks the next response head without consuming it. The check needs the raw bytes, because a head parsed by
// net/http no longer shows whether it had two conflicting framings.
func (c *conn) checkHead() error {
	for wanted := 1; ; {
		_, err := c.reader.Peek(wanted)
		received, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(received, []byte("\r\n\r\n")); end >= 0 {
			head := received[:end]
			if message.HasConflictingFraming(head) {
				return errConflictingFraming
			}
			if len(statusLine.FindAllIndex(head, 2)) > 1 { // a truncated head is followed by another response
				return errNestedHead
			}
			return nil
		}
		if err != nil { // including bufio.ErrBufferFull if the head is too long
			return err
		}
		wanted = len(received) + 1
	}
}

// classify returns the result of a buffered response. quiet reports whether no bytes follow the response; if some do,
// the response does not prove that the request was rejected.
func classify(response *http.Response, body []byte, quiet bool) Result {
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return Result{Status: balancer.OK, Body: body, ContentType: response.Header.Get(contentTypeHeader)}
	case code == http.StatusServiceUnavailable, code == http.StatusGatewayTimeout:
		if response.Header.Get(notStartedHeader) == "1" && quiet {
			return Result{Status: balancer.Rejected}
		}
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return Result{Status: balancer.Error, ClientFault: code}
	}
	return Result{Status: balancer.Error} // the request may have run
}
