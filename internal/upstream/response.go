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
	notStartedHeader = "Not-Started" // its value 1 says that the request was rejected before it ran

	maxResponseHead  = 8 << 10 // bytes
	maxInformational = 8       // 1xx responses before the final one

	// responseStall is how long a response that has begun may rest. One whose length does not fit never ends.
	responseStall = 500 * time.Millisecond
)

// Errors of responses that cannot be trusted.
var (
	errNoResponse           = errors.New("no response")
	errConflictingFraming   = errors.New("the head has conflicting framings")
	errNestedHead           = errors.New("the head has two status lines")
	errTooManyInformational = errors.New("too many informational responses")
	errNoLength             = errors.New("the body has neither a length nor chunks") // an interrupted one looks complete
)

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]\b`)

// readResponse reads the response. A short one is read completely, so that a broken one never reaches the client; a
// longer one is forwarded as it arrives. keep reports whether the connection can be used again.
func (a *Attempt) readResponse(ctx context.Context, c *conn) (result Result, keep bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return Result{}, false, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	c.limitReads(responseStall, a.Deadline)
	// The body is never closed, for that would read all of it: what has not been read ends with the connection.
	response, err := a.readFinalHead(c)
	if err != nil {
		return Result{}, false, fmt.Errorf("read response: %w", err)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Result{}, false, fmt.Errorf("read response: %w", errNoLength)
	}
	if response.ContentLength > message.MaxBody {
		return Result{Status: balancer.Error}, false, nil
	}
	body, complete, err := message.ReadBuffered(response.Body, response.ContentLength, a.Request.Reservation,
		time.Now().Add(responseStall))
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

// readFinalHead reads the head of the response and those of the informational responses before it.
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
			return response, nil
		}
	}
	return nil, errTooManyInformational
}

// checkHead checks the next head and leaves it to be read: what net/http makes of it no longer shows whether it had two
// framings, of which one is wrong.
func (c *conn) checkHead() error {
	for wanted := 1; ; {
		_, err := c.reader.Peek(wanted)
		received, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(received, []byte("\r\n\r\n")); end >= 0 {
			head := received[:end]
			if message.HasConflictingFraming(head) {
				return errConflictingFraming
			}
			if len(statusLine.FindAllIndex(head, 2)) > 1 { // one head was broken off, and another follows in its place
				return errNestedHead
			}
			return nil
		}
		if err != nil { // also bufio.ErrBufferFull for a head that is too long
			return err
		}
		wanted = len(received) + 1
	}
}

// classify returns the result of a buffered response. quiet reports whether nothing follows the response; otherwise it
// is no proof that the request was rejected.
func classify(response *http.Response, body []byte, quiet bool) Result {
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return Result{Status: balancer.OK, Body: body, ContentType: response.Header.Get("Content-Type")}
	case code == http.StatusServiceUnavailable, code == http.StatusGatewayTimeout:
		if response.Header.Get(notStartedHeader) == "1" && quiet {
			return Result{Status: balancer.Rejected}
		}
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return Result{Status: balancer.Error, ClientFault: code}
	}
	return Result{Status: balancer.Error} // the request may have run
}

// forward has a response forwarded as it arrives. The deadline was that of its first bytes; from here on only a stall
// ends it.
func (a *Attempt) forward(ctx context.Context, c *conn, response *http.Response, first []byte) (result Result, keep bool) {
	c.limitReads(message.StreamStall, time.Time{})
	stream := &message.ResponseStream{
		First:       first,
		Body:        response.Body,
		Length:      response.ContentLength,
		ContentType: response.Header.Get("Content-Type"),
		Abort:       c.abort,
		Done:        make(chan error, 1),
	}
	a.Observer.ResponseStarted(stream)
	var err error
	select {
	case err = <-stream.Done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return Result{Status: balancer.OK}, err == nil && !response.Close && c.reader.Buffered() == 0
}
