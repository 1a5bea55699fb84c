package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

// lateStallTimeout limits each wait for further bytes of a response of unknown length after the request's deadline. It is
// longer than a healthy backend pauses, and the end of the response may be that late.
const lateStallTimeout = 530 * time.Millisecond

// forward passes a response to the observer, which forwards it as it arrives.
func (a *Attempt) forward(ctx context.Context, c *conn, response *http.Response, prefix []byte) (result Result, keep bool) {
	c.limitReads(a.forwardLimits(response))
	stream := &message.ResponseStream{
		Prefix:      prefix,
		Body:        &forwardedBody{Reader: response.Body, conn: c, received: len(prefix)},
		Length:      response.ContentLength,
		ContentType: response.Header.Get(contentTypeHeader),
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

// forwardLimits returns the limits of a response when its forwarding starts.
func (a *Attempt) forwardLimits(response *http.Response) readLimits {
	if a.StreamedResponse || response.ContentLength > message.MaxBuffered {
		return longResponseLimits
	}
	return shortResponseLimits(response.ContentLength, a.Observer.RequestDeadline())
}

// longResponseLimits are the limits of a streamed response, and of one that is longer than message.MaxBuffered: only its first
// bytes were due by the deadline.
var longResponseLimits = readLimits{stallTimeout: message.StreamStallTimeout}

// shortResponseLimits returns the limits of a forwarded response that is not known to be long. length is its announced
// length, or -1 if there is none. A short response is due by the request's deadline. One of unknown length may still turn
// out to be long, so it may go on while its endpoint goes on sending.
func shortResponseLimits(length int64, requestDeadline time.Time) readLimits {
	limits := readLimits{stallTimeout: message.StreamStallTimeout, deadline: requestDeadline}
	if length < 0 {
		limits.lateStallTimeout = lateStallTimeout
	}
	return limits
}

// forwardedBody is the rest of the body of a forwarded response. Once the response turns out to be long, the limits of long
// responses apply.
type forwardedBody struct {
	io.Reader
	conn     *conn
	received int // bytes of the whole body so far
}

// Read implements io.Reader.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	wasShort := b.received <= message.MaxBuffered
	b.received += n
	if wasShort && b.received > message.MaxBuffered {
		b.conn.limitReads(longResponseLimits)
	}
	return n, err
}
