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

// Attempt sends a request to one target at most once. The fields are set before Run, which is called only once.
type Attempt struct {
	Request       *Request
	Target        Target
	Deadline      time.Time // of the response; UploadFinished replaces it
	DedupDeadline time.Time // of a retry: after it the endpoint may run the request a second time; zero for none
	// StallTimeout limits each wait for further bytes of a response that has begun, so that the request can be sent again
	// early. It has to be 0 if the request cannot be sent again: then only Deadline limits the response.
	StallTimeout time.Duration
	// UploadTimeout limits the upload of a streamed request, from the earliest time at which the client can have written its
	// last byte. 0 means no limit.
	UploadTimeout time.Duration

	// StreamedResponse means that a response that has started has no deadline, also if it is short.
	StreamedResponse bool

	Observer Observer // required for streamed requests and for responses that may exceed the buffer

	earlyResponse atomic.Bool // the endpoint sent bytes before the streamed request was completely written
}

// Run performs the attempt and returns after everything that the attempt started has ended, except for pending dials
// that the pool takes over. Cancelling the context cancels the attempt.
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

// run performs the attempt on a reused or new connection. If a reused connection turns out to be unusable before
// anything was sent, run tries the next connection.
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
		reused := c.idleTime > 0 // read before put, after which another attempt may take the connection
		result, keep := a.exchange(ctx, c)
		if keep {
			a.Target.pool.put(c)
		} else {
			a.Target.pool.discard(c)
		}
		if !result.connectionUnusable || !reused {
			return result
		}
	}
}

func (a *Attempt) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, a.sendDeadline(a.Deadline))
	defer cancel()
	return a.Target.connect(ctx)
}

// connectFailure returns the status of an attempt that got no connection: NotAttempted if the endpoint is not at fault,
// otherwise ConnectFailed.
func (a *Attempt) connectFailure(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || a.pastDedupDeadline() || errors.Is(err, errConnectionLimit) {
		return balancer.NotAttempted
	}
	return balancer.ConnectFailed
}

// checkStart reports whether the attempt may still start; if not, it returns the attempt's result. It is called again
// right before the first byte is written, because conditions may change during a dial.
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
// connection; if not, it returns the attempt's result. A connection with unread bytes is not used: they don't belong to
// this request's response, but would be read as the response.
func (a *Attempt) start(ctx context.Context, c *conn) (Result, bool) {
	if result, ok := a.checkStart(ctx); !ok {
		return result, false
	}
	if !socket.IsQuiet(c.Conn) {
		return Result{Status: balancer.ConnectFailed, connectionUnusable: true}, false
	}
	c.written = true
	return Result{}, true
}

func (a *Attempt) pastDeadline() bool { return !time.Now().Before(a.Deadline) }

// pastDedupDeadline reports whether it is too late for a retry: the endpoint may no longer remember the previous
// attempt, and would then run the request a second time.
func (a *Attempt) pastDedupDeadline() bool {
	return !a.DedupDeadline.IsZero() && !time.Now().Before(a.DedupDeadline)
}

// sendDeadline returns the earlier of a write deadline and the dedup deadline.
func (a *Attempt) sendDeadline(deadline time.Time) time.Time {
	if !a.DedupDeadline.IsZero() && a.DedupDeadline.Before(deadline) {
		return a.DedupDeadline
	}
	return deadline
}
