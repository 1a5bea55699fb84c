package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

const (
	answerHead       = 8 << 10 // bytes of a backend's answer before its body
	maxInformational = 8       // 1xx answers ahead of one

	// Once an answer has begun, the rest of it is on its way, if in pieces; one whose length does not fit never ends.
	answerStall = 500 * time.Millisecond
	earlyLeft   = 100 * time.Millisecond // for an answer that a backend gave before it had the whole request
)

// head looks at the next head as it came, and leaves it to be read. What net/http makes of it no longer shows
// whether it gave two framings, of which one is wrong.
func (c *conn) head() error {
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered())
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			if message.HasConflictingFraming(b[:end]) {
				return errors.New("two framings")
			}
			if len(statusLine.FindAllIndex(b[:end], 2)) > 1 { // one head broke off, and another went on in its place
				return errors.New("two heads in one")
			}
			return nil
		}
		if err != nil { // also a head that does not end
			return err
		}
		n = len(b) + 1
	}
}

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]\b`)

// read takes the answer. A short one is taken whole, so that one that breaks off has not been given; what is longer is
// passed on as it comes.
func (a *attempt) read(c *conn) (res result, keep bool, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return res, false, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	c.stall, c.until = answerStall, a.deadline
	var resp *http.Response
	for early := 0; resp == nil || resp.StatusCode < 200; early++ {
		if early > maxInformational {
			return res, false, errors.New("read answer: early words without end")
		}
		if err = c.head(); err == nil {
			resp, err = http.ReadResponse(c.r, &http.Request{Method: a.req.method})
		}
		if err != nil {
			return res, false, fmt.Errorf("read answer: %w", err)
		}
	}
	// The body is not closed, for that would read all of it: what has not been read ends with the connection.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// Its end would look the same as a break.
		return res, false, errors.New("read answer: length not given")
	}
	if resp.ContentLength > message.MaxBody {
		return result{status: balancer.Error}, false, nil
	}
	body, whole, err := message.ReadBuffered(resp.Body, resp.ContentLength, a.req.lease, time.Now().Add(answerStall))
	if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	if !whole && resp.StatusCode == http.StatusOK {
		return a.pass(c, resp, body)
	}
	keep = whole && !resp.Close && c.r.Buffered() == 0
	switch resp.StatusCode {
	case http.StatusOK:
		return result{status: balancer.OK, body: body, content: resp.Header.Get("Content-Type")}, keep, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// With anything behind it the answer is not one that can be believed.
		if resp.Header.Get("Not-Started") == "1" && c.r.Buffered() == 0 {
			return result{status: balancer.Rejected}, keep, nil
		}
	}
	if c := resp.StatusCode; c >= 400 && c < 500 && c != http.StatusRequestTimeout && c != http.StatusTooManyRequests {
		return result{status: balancer.Error, fault: c}, keep, nil
	}
	return result{status: balancer.Error}, keep, nil // it may have run
}

// pass has an answer passed on as it comes. Its time was that of its first bytes; from here on only a rest ends it.
func (a *attempt) pass(c *conn, resp *http.Response, first []byte) (res result, keep bool, err error) {
	c.stall, c.until = message.StreamStall, time.Time{}
	stream := &message.ResponseStream{First: first, Body: resp.Body, Length: resp.ContentLength,
		ContentType: resp.Header.Get("Content-Type"), Abort: c.cut, Done: make(chan error, 1)}
	a.begin(stream)
	select {
	case err = <-stream.Done:
	case <-a.ctx.Done():
		err = a.ctx.Err()
	}
	return result{status: balancer.OK}, err == nil && !resp.Close && c.r.Buffered() == 0, nil
}
