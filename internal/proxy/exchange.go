package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
)

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (a *attempt) exchange(c *conn) (res result, keep bool) {
	// Stopping the attempt ends its reads and writes; the connection is then closed, never used again.
	unhook := context.AfterFunc(a.ctx, c.cut)
	defer func() {
		if !unhook() {
			keep = false
		}
	}()
	_ = c.SetReadDeadline(a.deadline)
	_ = c.SetWriteDeadline(a.by(a.deadline))
	var head []byte
	if a.req.rest == nil {
		var err error
		if head, err = a.encode(); err != nil {
			return result{status: balancer.NotAttempted}, true
		}
	}
	var written time.Time
	if a.req.rest != nil {
		if res, ok := a.send(c); !ok {
			return res, !c.used && !res.unused
		}
	} else {
		if res, ok := a.first(c); !ok {
			return res, !res.unused
		}
		written = time.Now()
		if _, err := c.Write(head); err != nil {
			// The last byte was not written, so the backend cannot have begun.
			return result{status: balancer.ConnectFailed}, false
		}
	}
	res, keep, err := a.read(c)
	switch {
	case err == nil:
		return res, keep
	case a.ctx.Err() != nil && !a.late():
		return result{status: balancer.Cancelled}, false
	case a.late():
		return result{status: balancer.TimedOut}, false
	}
	if c.idled > 0 && errors.Is(err, errNoAnswer) && time.Since(written) < a.pool.staleWithin {
		a.pool.stale(c)
	}
	return result{status: balancer.Reset}, false
}

// send passes a request on while its client writes it. ok tells whether an answer is to be read: all of the request
// has gone out. Before that a backend can only turn it away.
func (a *attempt) send(c *conn) (res result, ok bool) {
	a.req.rest.Resume()
	w := &stalling{a: a, c: c, said: make(chan bool, 1), none: result{status: balancer.NotAttempted}}
	_ = c.SetReadDeadline(time.Time{})
	err := a.out(io.MultiReader(bytes.NewReader(a.req.body), a.req.rest)).Write(w)
	now := time.Now()
	if !c.used {
		return w.none, false
	}
	if err == nil {
		a.deadline = a.uploaded(now)
		_ = c.SetDeadline(a.deadline)
		if a.ctx.Err() != nil {
			c.cut()
		}
		<-w.said              // the answer, or the end of the wait for it
		if w.stopped.Load() { // too late: the request is whole, and that word was not the answer to it
			return result{status: balancer.Reset}, false
		}
		return res, true
	}
	_ = c.SetReadDeadline(now.Add(earlyLeft)) // it may have said why it took no more
	if a.ctx.Err() != nil {
		c.cut()
	}
	said := <-w.said
	if !w.short && a.req.rest.ReceivedAll() { // nothing proves that the last byte has not gone out
		return result{status: balancer.Reset}, false
	}
	if !said || a.ctx.Err() != nil {
		return result{status: balancer.ConnectFailed}, false
	}
	res, _, err = a.read(c)
	if err != nil || res.status == balancer.OK { // nobody can have served what has not come whole
		return result{status: balancer.ConnectFailed}, false
	}
	return res, false
}

// stalling writes a request to a backend as long as it takes something in time and says nothing.
type stalling struct {
	a       *attempt
	c       *conn
	none    result      // how the attempt ends where nothing has gone out
	said    chan bool   // once something has: whether the backend has said something, or nothing in time
	stopped atomic.Bool // it did, or ended, before all had gone out: no more of the request is wanted
	short   bool        // a write did not take all
}

func (s *stalling) Write(b []byte) (n int, err error) {
	_ = s.c.SetWriteDeadline(s.a.by(time.Now().Add(message.StreamStall)))
	if !s.c.used { // its client may have taken its time until here
		var ok bool
		if s.none, ok = s.a.first(s.c); !ok {
			return 0, errNotBegun
		}
		go s.listen()
	}
	if s.a.spoken.Load() {
		s.stopped.Store(true)
	}
	if s.c.gone.Load() || s.stopped.Load() {
		err = os.ErrDeadlineExceeded
	} else {
		n, err = s.c.Write(b)
	}
	s.short = s.short || n < len(b)
	return n, err
}

// listen waits for the backend's word or its end. Where either comes early, nobody waits for the client any longer.
func (s *stalling) listen() {
	_, err := s.c.r.Peek(1)
	s.a.spoken.Store(err == nil)
	if u := s.a.req.rest; !u.Ended() {
		s.stopped.Store(true)
		_ = s.c.SetWriteDeadline(time.Unix(1, 0))
		u.Interrupt()
	}
	s.said <- err == nil
}

var errNotBegun = errors.New("nothing may be sent any more")

var errNoAnswer = errors.New("no answer")

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (a *attempt) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := a.out(bytes.NewReader(a.req.body)).Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// out is the request as the backend gets it.
func (a *attempt) out(body io.Reader) *http.Request {
	r := a.req
	left := max(1, time.Until(a.deadline).Milliseconds())
	r.header.Set("Request-Timeout-Ms", strconv.FormatInt(left, 10))
	path, query, _ := strings.Cut(r.uri, "?")
	out := http.Request{Method: r.method, Host: r.host, Header: r.header, ContentLength: int64(len(r.body)),
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.uri, "?")}}
	if r.rest != nil {
		out.ContentLength = r.rest.Length()
	}
	if out.ContentLength != 0 {
		out.Body = io.NopCloser(body)
	}
	return &out
}
