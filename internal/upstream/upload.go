package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/message"
	"baylock/internal/socket"
)

const (
	// earlyResponseWait is how long a failed upload waits for a response that may explain the failure.
	earlyResponseWait = 100 * time.Millisecond

	// uploadCheckInterval is how often a blocked upload checks whether its request is overdue and whether its client is still
	// connected. An upload that is not blocked checks that after minUploadCheckInterval at the earliest.
	uploadCheckInterval    = 100 * time.Millisecond
	minUploadCheckInterval = 25 * time.Millisecond

	// An upload begins only if the client was certainly connected maxClientAge ago. Otherwise the body is read ahead to find
	// out, up to maxReadAhead bytes. A client that is further ahead is still writing, as its kernel does not hold more.
	maxClientAge = 50 * time.Millisecond
	maxReadAhead = message.MaxClientBuffer
)

// errNotStarted makes the encoding of a request stop before anything is sent.
var errNotStarted = errors.New("attempt can no longer start")

// upload writes a streamed request while the client is still sending it. ok reports whether the request was written
// completely, so that the response can be read. Before it has the complete request, the endpoint can only reject it.
func (a *Attempt) upload(ctx context.Context, c *conn) (result Result, ok bool) {
	a.Request.Stream.Resume()
	if !a.seesClient() {
		return Result{Status: balancer.NotAttempted}, false
	}
	w := &uploadWriter{ctx: ctx, attempt: a, conn: c, responded: make(chan bool, 1),
		notStarted: Result{Status: balancer.NotAttempted}}
	_ = c.SetReadDeadline(time.Time{})
	err := a.writeStreamed(w)
	now := time.Now()
	if !c.written {
		return w.notStarted, false
	}
	if err != nil {
		return a.failUpload(ctx, w, now), false
	}
	return a.finishUpload(ctx, w, now)
}

// seesClient reads ahead if it is not known whether the client is still connected: its close may be behind bytes that its
// kernel cannot send before more of the body is read. It reports whether Request.ClientGone can be relied upon.
func (a *Attempt) seesClient() bool {
	r := a.Request
	if time.Since(r.Stream.EarliestEnd()) < maxClientAge {
		return true // it was still writing
	}
	return r.Stream.ReadAhead(r.Reservation, maxReadAhead)
}

// finishUpload waits for the response to a request that was completely written at the time now.
func (a *Attempt) finishUpload(ctx context.Context, w *uploadWriter, now time.Time) (result Result, ok bool) {
	a.Deadline = a.Observer.UploadFinished(now, a.Request.Stream.EarliestEnd())
	_ = w.conn.SetDeadline(a.Deadline)
	if ctx.Err() != nil { // SetDeadline may have replaced the deadline that abort set
		w.conn.abort()
	}
	<-w.responded
	if w.stopped.Load() { // the endpoint sent these bytes before the request was complete, so they don't answer it
		return Result{Status: balancer.Reset}, false
	}
	return Result{}, true
}

// failUpload returns the result of an upload that failed at the time now.
func (a *Attempt) failUpload(ctx context.Context, w *uploadWriter, now time.Time) Result {
	if w.overdue || w.clientGone {
		w.conn.abort()
		<-w.responded
		return Result{Status: balancer.ConnectFailed, ClientGone: w.clientGone, UploadOverdue: w.overdue}
	}
	_ = w.conn.SetReadDeadline(now.Add(earlyResponseWait))
	if ctx.Err() != nil { // SetReadDeadline may have replaced the deadline that abort set
		w.conn.abort()
	}
	responded := <-w.responded
	if !w.shortWrite && a.Request.Stream.ReceivedAll() { // the last byte may have been written
		return Result{Status: balancer.Reset}
	}
	if !responded || ctx.Err() != nil {
		return Result{Status: balancer.ConnectFailed}
	}
	result, _, err := a.readResponse(ctx, w.conn, ResponseStallTimeout)
	if err != nil || result.Status == balancer.OK { // an endpoint cannot have served an incomplete request
		return Result{Status: balancer.ConnectFailed}
	}
	return result
}

// uploadWriter writes a streamed request to an endpoint. It fails once the endpoint accepts no more bytes, sends something
// or closes the connection.
type uploadWriter struct {
	ctx        context.Context
	attempt    *Attempt
	conn       *conn
	notStarted Result      // result of the attempt if nothing was written
	responded  chan bool   // gets one value once writing has begun: whether the endpoint has sent something
	stopped    atomic.Bool // the endpoint sent something or closed before the request was complete
	shortWrite bool        // a write was incomplete
	checkedAt  time.Time   // when overdue and clientGone were last updated
	overdue    bool        // the request's timeout is over, so that no response can be in time
	clientGone bool        // the client has closed its connection
}

// Write implements io.Writer. The first call starts the attempt.
func (w *uploadWriter) Write(b []byte) (n int, err error) {
	if !w.conn.written {
		var ok bool
		if w.notStarted, ok = w.attempt.start(w.ctx, w.conn); !ok {
			return 0, errNotStarted
		}
		go w.awaitResponse()
	}
	if w.attempt.earlyResponse.Load() {
		w.stopped.Store(true)
	}
	limit := socket.StallLimit{
		Timeout:  message.WriteStallTimeout,
		Interval: uploadCheckInterval,
		Deadline: w.attempt.DedupDeadline,
		Aborted:  w.mustEnd,
	}
	n, err = limit.Write(w.conn, b)
	w.shortWrite = w.shortWrite || n < len(b)
	return n, err
}

// mustEnd reports whether the upload has to end before the request is complete. The client's timeout may be over although
// the proxy has not received the last byte, because it reads no faster than the endpoint.
func (w *uploadWriter) mustEnd() bool {
	if w.conn.aborted.Load() || w.stopped.Load() {
		return true
	}
	now := time.Now()
	if now.Sub(w.checkedAt) < minUploadCheckInterval {
		return false
	}
	w.checkedAt = now
	request := w.attempt.Request
	w.clientGone = request.ClientGone()
	timeout := w.attempt.UploadTimeout
	w.overdue = timeout > 0 && now.Sub(request.Stream.EarliestEnd()) >= timeout
	return w.clientGone || w.overdue
}

// awaitResponse waits until the endpoint sends something or closes the connection. If that happens before the request
// is complete, it stops the upload. The upload receives from responded before it ends, so that this goroutine does not
// outlive it.
func (w *uploadWriter) awaitResponse() {
	_, err := w.conn.reader.Peek(1)
	w.attempt.earlyResponse.Store(err == nil)
	if stream := w.attempt.Request.Stream; !stream.Ended() {
		w.stopped.Store(true)
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
		stream.Interrupt()
	}
	w.responded <- err == nil
}
