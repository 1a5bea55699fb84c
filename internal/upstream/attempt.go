package upstream

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

// Attempt sends a request to one target, once. Its fields are set before Run, which is called once.
type Attempt struct {
	Request       *Request
	Target        Target
	Deadline      time.Time // for the response; UploadFinished replaces it
	DedupDeadline time.Time // of a retry: the endpoint may run it again if it arrives later; zero for none
	Observer      Observer  // needed for requests with a stream and for responses that may be long

	earlyResponse atomic.Bool // the endpoint has sent something before all of a streamed request was written
}

// Run carries the attempt out. When it returns nothing of the attempt is left. The end of the context cancels it.
func (a *Attempt) Run(ctx context.Context) Result {
	result := a.run(ctx)
	stream := a.Request.Stream
	if stream == nil {
		return result
	}
	result.BodyConsumed = stream.Consumed()
	if err := stream.Failure(); result.BodyConsumed && err != nil && ctx.Err() == nil && result.Status != balancer.OK {
		result.ClientFault = http.StatusBadRequest
		if errors.Is(err, message.ErrTooLong) {
			result.ClientFault = http.StatusRequestEntityTooLarge
		}
	}
	return result
}

// run takes one connection after the other, until one that was idle before is not found closed.
func (a *Attempt) run(ctx context.Context) Result {
	for {
		if result, ok := a.checkStart(ctx); !ok {
			return result
		}
		c := a.Target.reuse()
		if c == nil {
			var err error
			if c, err = a.connect(ctx); err != nil {
				return Result{Status: a.connectFailure(ctx, err)}
			}
		}
		reused := c.idleTime > 0 // read now: once the connection is idle another attempt may take it
		result, keep := a.exchange(ctx, c)
		if keep {
			a.Target.pool.put(c)
		} else {
			a.Target.pool.discard(c)
		}
		if !result.connectionClosed || !reused {
			return result
		}
	}
}

func (a *Attempt) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, a.sendDeadline(a.Deadline))
	defer cancel()
	return a.Target.connect(ctx)
}

// connectFailure returns the status of an attempt that got no connection. It is NotAttempted where the endpoint is not
// at fault.
func (a *Attempt) connectFailure(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || a.pastDedupDeadline() || errors.Is(err, errConnectionLimit) {
		return balancer.NotAttempted
	}
	return balancer.ConnectFailed
}

// checkStart reports whether the attempt may still start; if not, it returns its result. It is called again right
// before the first byte, since time passes during a dial.
func (a *Attempt) checkStart(ctx context.Context) (Result, bool) {
	if ctx.Err() != nil || a.pastDeadline() || a.pastDedupDeadline() || !a.Target.isCurrent() {
		return Result{Status: balancer.NotAttempted}, false
	}
	if a.Request.ClientGone() {
		return Result{Status: balancer.NotAttempted, ClientGone: true}, false
	}
	return Result{}, true
}

// start is called right before the first byte is written. It reports whether the attempt may still start on the
// connection; if not, it returns its result. Bytes that have arrived before belong to no response of this request, and
// would be taken for it later.
func (a *Attempt) start(ctx context.Context, c *conn) (Result, bool) {
	if result, ok := a.checkStart(ctx); !ok {
		return result, false
	}
	if !socket.IsQuiet(c.Conn) {
		return Result{Status: balancer.ConnectFailed, connectionClosed: true}, false
	}
	c.written = true
	return Result{}, true
}

func (a *Attempt) pastDeadline() bool { return !time.Now().Before(a.Deadline) }

// pastDedupDeadline reports whether it is too late for a retry: the endpoint may have forgotten the previous attempt,
// and run the request again.
func (a *Attempt) pastDedupDeadline() bool {
	return !a.DedupDeadline.IsZero() && !time.Now().Before(a.DedupDeadline)
}

// sendDeadline limits a deadline for writing by the dedup deadline.
func (a *Attempt) sendDeadline(deadline time.Time) time.Time {
	if !a.DedupDeadline.IsZero() && a.DedupDeadline.Before(deadline) {
		return a.DedupDeadline
	}
	return deadline
}
