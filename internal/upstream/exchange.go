package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"baylock/balancer"
)

// timeoutHeader tells an endpoint how much time is left for the request, in milliseconds.
const timeoutHeader = "Request-Timeout-Ms"

// exchange writes the request and reads the response. keep reports whether the connection can be reused.
func (a *Attempt) exchange(ctx context.Context, c *conn) (result Result, keep bool) {
	stopAbort := context.AfterFunc(ctx, c.abort)
	defer func() {
		if !stopAbort() {
			keep = false
		}
	}()
	_ = c.SetReadDeadline(a.Deadline)
	_ = c.SetWriteDeadline(a.sendDeadline(a.Deadline))
	if a.Request.Stream != nil {
		return a.exchangeStreamed(ctx, c)
	}
	return a.exchangeBuffered(ctx, c)
}

func (a *Attempt) exchangeBuffered(ctx context.Context, c *conn) (result Result, keep bool) {
	request, err := a.encode()
	if err != nil {
		return Result{Status: balancer.NotAttempted}, true
	}
	if result, ok := a.start(ctx, c); !ok {
		return result, !result.connectionUnusable
	}
	writeStart := time.Now()
	if _, err := c.Write(request); err != nil {
		// The last byte was not written, so the endpoint cannot have started to run the request.
		return Result{Status: balancer.ConnectFailed}, false
	}
	result, keep, err = a.readResponse(ctx, c, a.StallTimeout)
	if err == nil {
		return result, keep
	}
	status := a.readFailure(ctx)
	if status == balancer.Reset && c.idleTime > 0 && errors.Is(err, errNoResponse) &&
		time.Since(writeStart) < a.Target.pool.staleResetWindow {
		a.Target.pool.reportStale(c)
	}
	return Result{Status: status}, false
}

func (a *Attempt) exchangeStreamed(ctx context.Context, c *conn) (result Result, keep bool) {
	if result, ok := a.upload(ctx, c); !ok {
		return result, !c.written && !result.connectionUnusable
	}
	result, keep, err := a.readResponse(ctx, c, 0) // the request cannot be sent again
	if err != nil {
		return Result{Status: a.readFailure(ctx)}, false
	}
	return result, keep
}

// readFailure returns the status of an attempt that wrote its request but could not read a valid response.
func (a *Attempt) readFailure(ctx context.Context) balancer.Status {
	switch {
	case ctx.Err() != nil && !a.pastDeadline():
		return balancer.Cancelled
	case a.pastDeadline():
		return balancer.TimedOut
	default:
		return balancer.Reset
	}
}

// encode returns the whole request. It is written in one call, whose error shows that the last byte was not written.
func (a *Attempt) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := a.httpRequest(bytes.NewReader(a.Request.Body)).Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// httpRequest returns the request as it is sent to the endpoint, with the remaining time in its header.
func (a *Attempt) httpRequest(body io.Reader) *http.Request {
	r := a.Request
	timeoutMs := max(1, time.Until(a.Deadline).Milliseconds())
	r.Header.Set(timeoutHeader, strconv.FormatInt(timeoutMs, 10))
	path, query, _ := strings.Cut(r.URI, "?")
	outgoing := &http.Request{
		Method:        r.Method,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		URL:           &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.URI, "?")},
	}
	if r.Stream != nil {
		outgoing.ContentLength = r.Stream.Length()
	}
	if outgoing.ContentLength != 0 {
		outgoing.Body = io.NopCloser(body)
	}
	return outgoing
}
