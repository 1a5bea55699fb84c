package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
	"baylock/internal/socket"
)

// attempt is one Send of the module on its way.
type attempt struct {
	req      *request
	number   int
	sent     balancer.Microseconds // when the module decided, or when the last byte of a streamed request went out
	deadline time.Time
	lapse    time.Time // a repeat that reached the backend later than this would run again; zero for none
	pool     *backends
	backend  *backend
	addr     string
	epoch    int
	ctx      context.Context // its end stops the attempt
	stop     context.CancelFunc
	uploaded func(time.Time) time.Time     // tells when the last byte of a streamed request went out; returns the new deadline
	begin    func(*message.ResponseStream) // hands an answer over that is passed on as it comes

	spoken atomic.Bool // the backend has said something, while the request was passed on as it came

	began bool // the loop's: the answer is being passed on
}

// result is how an attempt ended.
type result struct {
	status  balancer.Status
	fault   int    // the request makes no sense, whoever gets it, or its client has broken off: the answer; else 0
	left    bool   // the client had left before anything was sent
	unused  bool   // the connection had ended or said something before anything was sent on it
	spent   bool   // a part of the request's body is gone
	body    []byte // of a backend's 200
	content string // and its Content-Type
}

// run carries the attempt out; it returns exactly one result, when nothing of the attempt is left.
func (a *attempt) run() result {
	res := a.try()
	if u := a.req.rest; u != nil {
		res.spent = u.Consumed()
		if err := u.Failure(); res.spent && err != nil && a.ctx.Err() == nil && res.status != balancer.OK {
			res.fault = http.StatusBadRequest
			if errors.Is(err, message.ErrTooLong) {
				res.fault = http.StatusRequestEntityTooLarge
			}
		}
	}
	return res
}

func (a *attempt) try() result {
	for {
		if res, ok := a.due(); !ok {
			return res
		}
		c := a.pool.reuse(a.backend, a.epoch)
		if c == nil {
			var err error
			if c, err = a.connect(); err != nil {
				if a.ctx.Err() != nil || a.lapsed() || errors.Is(err, errNoSockets) {
					return result{status: balancer.NotAttempted} // stopped before anything was sent, or no fault of the backend's
				}
				return result{status: balancer.ConnectFailed}
			}
		}
		reused := c.idled > 0 // asked now: once it is back in the pool another attempt may take it
		res, keep := a.exchange(c)
		if keep {
			a.pool.keep(c)
		} else {
			a.pool.drop(c)
		}
		if !res.unused || !reused {
			return res
		}
	}
}

// first is the last look, right before the first byte: whether the attempt may still begin, on a connection that is open
// and on which nothing has been said. What has been said answers nothing of this request, and could be taken for its
// answer once that is out.
func (a *attempt) first(c *conn) (result, bool) {
	if res, ok := a.due(); !ok {
		return res, false
	}
	if !socket.IsQuiet(c.Conn) {
		return result{status: balancer.ConnectFailed, unused: true}, false
	}
	c.used = true
	return result{}, true
}

// due tells whether the attempt may still begin; if not, with what it ends. A dial takes time, and so does a busy core:
// it is asked again right before the first byte. What has ended, drained or gone by then gets nothing new, and nothing
// is sent for a client that has left.
func (a *attempt) due() (result, bool) {
	if a.ctx.Err() != nil || a.late() || a.lapsed() || !a.pool.current(a.backend, a.epoch) {
		return result{status: balancer.NotAttempted}, false
	}
	if a.req.left() {
		return result{status: balancer.NotAttempted, left: true}, false
	}
	return result{}, true
}

func (a *attempt) late() bool { return !time.Now().Before(a.deadline) }

// lapsed tells whether it is too late for a repeat: its last byte would reach the backend when that may have forgotten
// the attempt before, and run again.
func (a *attempt) lapsed() bool { return !a.lapse.IsZero() && !time.Now().Before(a.lapse) }

// by is the end of the time for what goes out, where that has so long otherwise.
func (a *attempt) by(due time.Time) time.Time {
	if !a.lapse.IsZero() && a.lapse.Before(due) {
		return a.lapse
	}
	return due
}

func (a *attempt) connect() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.by(a.deadline))
	defer cancel()
	return a.pool.connect(ctx, a.backend, a.addr, a.epoch)
}
