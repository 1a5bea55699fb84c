package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baylock/balancer"
	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/upstream"
)

const (
	maxID = 128 // bytes of a Request-Id

	// A client that connects is owed an answer or a close within 3 s: it has this long to send a head, and
	// this long from its connecting to its first body's end. A later body has as long as a head.
	headPatience  = 2200 * time.Millisecond
	firstPatience = 2800 * time.Millisecond
	idlePatience  = 10 * time.Second // for the next request on a connection
	writeLeeway   = 5 * time.Second  // for the answer to be taken

	// After the first call on lame duck health checks are asked within 0.1 s, and connections come for 0.2 s more.
	duckAfter = 400 * time.Millisecond

	// While a new version takes over, idle connections are closed when they have stood for so long, and all of them
	// from so long after SIGTERM on. Requests that cross a close are dear, but those that come more than 0.7 s after
	// SIGTERM have to be answered before SIGKILL, and their answers may be long.
	handOverIdle = 300 * time.Millisecond
	handOverLast = 500 * time.Millisecond

	// The answer to a request is to leave this long before its client gives up, so that a busy core does
	// not make it late, but a request with little time keeps most of it.
	answerMargin = 30 * time.Millisecond
	marginPart   = 8
)

// frontend takes requests from clients and hands them to the loop.
type frontend struct {
	loop     *loop
	server   *http.Server
	clients  *clientconn.Listener
	budget   *message.Budget
	log      *slog.Logger
	draining atomic.Bool // SIGTERM has come: health checks are told
	bound    atomic.Bool // clients may get no new connections here
	closing  atomic.Bool // each connection ends with its answer
	duck     atomic.Bool // operators want no clients here: health checks are told

	succeeded atomic.Bool   // another process of this proxy takes connections
	served    chan struct{} // closed when nothing is accepted any more

	mu       sync.Mutex     // held while lame duck begins or ends, and once SIGTERM has come
	stopDuck func()         // ends what empties the proxy; nil when nothing does
	emptying sync.WaitGroup // it
}

func newFrontend(l *loop, most int, log *slog.Logger) *frontend {
	f := &frontend{loop: l, clients: clientconn.NewListener(nil, clientconn.Options{MaxConnections: most, RequestGrace: clientconn.RequestGrace}), budget: &message.Budget{}, log: log, served: make(chan struct{})}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headPatience, IdleTimeout: idlePatience, MaxHeaderBytes: clientconn.MaxHead,
		WriteTimeout: headPatience + writeLeeway, // each answer sets its own when it begins
		ConnContext:  clientconn.ConnContext,
		ConnState:    f.clients.TrackState, ErrorLog: quietLog(log),
	}
	return f
}

// quietLog sends net/http's remarks on broken clients to the debug level.
func quietLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// serve accepts connections until the listener is closed.
func (f *frontend) serve() error {
	defer close(f.served)
	if err := f.server.Serve(f.clients); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// ServeHTTP answers health checks and takes requests.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	if r.URL.Path == "/_health" {
		if c := clientconn.FromContext(r.Context()); c != nil && r.ContentLength == 0 {
			c.RequestRead()
		}
		if r.ContentLength != 0 { // what follows a body that nobody reads is no request
			w.Header().Set("Connection", "close")
		}
		f.health(w)
		return
	}
	req, fault := f.parse(w, r, came)
	if fault.status != 0 {
		// What is left of a body is drained on the way out; it may never come.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(message.DiscardPatience))
		f.reply(w, fault)
		return
	}
	defer req.upstream.Reservation.Release()
	if f.bound.Load() {
		stats := f.clients.Stats()
		req.ClientConnections, req.IdleConnections = stats.Open-stats.Unused, stats.Idle
	}
	l := f.loop
	l.post(func() { l.take(req) })
	gone, u := r.Context().Done(), req.upstream.Stream
	if u != nil {
		gone = nil // whoever passes the body on sees the client go, or only stop
	}
	var ans answer
	for waiting := true; waiting; {
		select {
		case ans = <-req.answer:
			waiting = false
		case <-u.Done():
			gone, u = r.Context().Done(), nil
		case <-gone: // the client has gone
			l.post(func() { l.withdraw(req, answer{}) })
			panic(http.ErrAbortHandler) // a return would answer 200
		case <-l.done:
			panic(http.ErrAbortHandler)
		}
	}
	if ans.status == 0 { // nobody is there to take it
		panic(http.ErrAbortHandler)
	}
	if u != nil && !u.Ended() {
		w.Header().Set("Connection", "close")
	}
	if ans.stream != nil {
		f.pass(w, r, ans)
	} else {
		f.reply(w, ans)
	}
	if u != nil {
		u.Discard()
	}
}

func (f *frontend) health(w http.ResponseWriter) {
	if f.healthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// healthy tells whether clients are to come. Where another process has taken over from one that ends, either may be
// asked, and the proxy goes on.
func (f *frontend) healthy() bool {
	select {
	case <-f.loop.listed:
		return !f.duck.Load() && (!f.draining.Load() || f.succeeded.Load())
	default:
		return false
	}
}

func (f *frontend) reply(w http.ResponseWriter, ans answer) {
	h := w.Header()
	// Where a request makes no sense, what follows it may not be the next one.
	if f.closing.Load() || ans.status >= 400 && ans.status < 500 {
		h.Set("Connection", "close")
	}
	if ans.content != "" {
		h.Set("Content-Type", ans.content)
	} else {
		h["Content-Type"] = nil // not to be guessed
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLeeway))
	h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	if ans.status == http.StatusServiceUnavailable && ans.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(ans.after)/1e6, 'f', 3, 64))
	}
	w.WriteHeader(ans.status)
	_, _ = w.Write(ans.body) // a client that has gone is no fault
}

// pass gives an answer on as it comes. One that breaks off ends the connection, so that the client can tell.
func (f *frontend) pass(w http.ResponseWriter, r *http.Request, ans answer) {
	d, err := ans.stream, http.ErrAbortHandler
	defer func() { d.Done <- err }()
	h := w.Header()
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	h["Content-Type"] = nil // not to be guessed
	if ans.content != "" {
		h.Set("Content-Type", ans.content)
	}
	if d.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(d.Length, 10))
	}
	if err = d.Deliver(r.Context(), w); err != nil {
		f.log.Warn("answer not finished", "id", r.Header.Get("Request-Id"), "error", err)
		panic(http.ErrAbortHandler)
	}
}

// parse reads a whole request. A fault is the answer to one that makes no sense; nothing of it goes on.
func (f *frontend) parse(w http.ResponseWriter, r *http.Request, came time.Time) (*request, answer) {
	bad := func(status int, why string) (*request, answer) {
		return nil, answer{status: status, body: []byte(why + "\n"), content: "text/plain"}
	}
	if !r.ProtoAtLeast(1, 1) { // in these net/http drops a Transfer-Encoding unseen
		return bad(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	conn := clientconn.FromContext(r.Context())
	if len(r.TransferEncoding) > 0 && (conn == nil || !conn.HasValidFraming()) {
		return bad(http.StatusBadRequest, "the length is given in two ways")
	}
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Tenant", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return bad(http.StatusBadRequest, name+" is given twice")
		}
	}
	now := f.loop.inForce.Load() // one for all of the request, whatever is put in force meanwhile
	class, ok := now.ClassIndex(r.Header.Get("Request-Class"))
	if !ok {
		return bad(http.StatusBadRequest, "unknown Request-Class")
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part != now.Site.Classes[class] || !strings.HasPrefix(r.RequestURI, "/") {
		return bad(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := r.Header.Get("Request-Id")
	if id == "" || len(id) > maxID {
		return bad(http.StatusBadRequest, "no Request-Id, or a long one")
	}
	k, method := now.Balancer.Classes[class], http.MethodPost
	if k.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (k.Idempotency == balancer.IdempotentWithKey) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64)
	if err != nil || ms < 0 { // a caller may have less than one left
		return bad(http.StatusBadRequest, "Request-Timeout-Ms is no time")
	}
	wait := min(k.Deadline.Duration(), time.Duration(min(ms, 1e9))*time.Millisecond)
	switch {
	case r.ContentLength > message.MaxBody:
		return bad(http.StatusRequestEntityTooLarge, "the body is too large")
	case r.ContentLength != 0 && method == http.MethodGet:
		return bad(http.StatusBadRequest, "a body on a GET")
	}
	req := &request{snapshot: now, answer: make(chan answer, 1), upstream: &upstream.Request{Method: method, URI: r.RequestURI,
		Host: r.Host, Reservation: f.budget.Reserve(), ClientGone: func() bool { return conn != nil && conn.ClientGone() }}}
	if err := f.body(w, r, req, conn, came); errors.Is(err, message.ErrTooLong) {
		req.upstream.Reservation.Release()
		return bad(http.StatusRequestEntityTooLarge, err.Error())
	} else if err != nil {
		req.upstream.Reservation.Release()
		return bad(http.StatusBadRequest, "the body broke off")
	}
	// The time of a request counts from its last byte.
	req.wait = wait - min(answerMargin, wait/marginPart)
	req.upstream.Header = passOn(r.Header)
	req.came = f.loop.clock.Now()
	req.Request = balancer.Request{ID: id, Class: class, Tenant: now.TenantIndex(r.Header.Get("Tenant")), Key: rest[strings.LastIndexByte(rest, '/')+1:],
		Deadline: f.loop.clock.At(time.Now().Add(req.wait)), Streaming: req.upstream.Stream != nil}
	return req, answer{}
}

// body reads a body while it is held; what is longer is left to be passed on as it comes.
func (f *frontend) body(w http.ResponseWriter, r *http.Request, req *request, conn *clientconn.Conn, came time.Time) error {
	control, start := http.NewResponseController(w), came.Add(headPatience-message.FirstBytesPatience)
	if conn != nil && !conn.ServedRequest() {
		start = later(came, conn.AcceptedAt().Add(firstPatience-message.FirstBytesPatience))
	}
	u := message.NewRequestStream(r.Body, r.ContentLength, control, start)
	var whole bool
	var err error
	if req.upstream.Body, whole, err = u.Buffer(req.upstream.Reservation); err != nil {
		return err
	}
	if whole {
		if conn != nil {
			conn.RequestRead()
		}
		// While the answer is awaited net/http reads on, to see a client that goes; that has no deadline.
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	req.upstream.Stream = u
	if conn != nil {
		u.SetEndHook(conn.RequestRead)
	}
	_ = control.EnableFullDuplex() // an answer may be due before the body has ended
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// passOn takes the headers that concern one connection out, and leaves net/http to frame the body.
func passOn(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		delete(h, name)
	}
	if h["User-Agent"] == nil {
		h["User-Agent"] = []string{""} // none of ours in its place
	}
	return h
}

// drain ends the service after SIGTERM. Until the last call clients are served as ever, and keep their
// connections: new ones stop coming soon, but a client uses those that it has while they stay open. What else
// it has is not known here: other proxies may restart close behind each other, and for seconds this one may be
// the last, while the successor comes no sooner for an early end. Then connections are closed as they fall
// idle, until none is left or the cutoff has come.
//
// This also covers other proxies that have crashed and a front that is slow to take a new one in. It hurts where
// a supervisor starts the successor only when this process has ended: that is then seconds later.
func (f *frontend) drain(lastCall, cutoff time.Time) {
	told := time.Now()
	for since := time.Duration(0); since < acceptAfter ||
		time.Now().Before(lastCall) && f.clients.Stats().Open > 0; since = time.Since(told) {
		f.bound.Store(since >= boundAfter)
		time.Sleep(drainStep)
	}
	f.closing.Store(true)
	f.shutdown(cutoff)
}

// handOver ends the service when another process has taken over. New connections go there; what stands in the queue
// here is still taken. Answers close their connections from now on, and those that stand idle are left open while a
// request may well be on its way to them.
func (f *frontend) handOver(cutoff time.Time) {
	told := time.Now()
	f.closing.Store(true)
	idleFor := handOverIdle
	for since := time.Duration(0); since < acceptAfter && time.Now().Before(cutoff); since = time.Since(told) {
		if since >= handOverLast {
			idleFor = 0
		}
		f.clients.CloseIdle(idleFor, acceptAfter)
		time.Sleep(drainStep)
	}
	f.shutdown(cutoff)
}

// lameDuck empties the proxy of clients or takes it back to work. Nothing else changes, and nothing restarts.
func (f *frontend) lameDuck(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == f.duck.Load() {
		return
	}
	f.duck.Store(on)
	if !on {
		f.stopDuck()
		f.emptying.Wait()
		if !f.draining.Load() {
			f.closing.Store(false)
		}
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stopDuck = stop
	f.emptying.Go(func() { f.empty(ctx) })
}

// empty closes connections with their answers, and those that fall idle, until the context ends. It begins when
// clients get no new ones here.
func (f *frontend) empty(ctx context.Context) {
	for wait := duckAfter; ; wait = drainStep {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		f.closing.Store(true)
		f.clients.CloseIdle(0, acceptAfter)
	}
}

// terminate begins the end of the service after SIGTERM; with lame duck it has begun already.
func (f *frontend) terminate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining.Store(true)
	if f.duck.Load() {
		f.stopDuck()
		f.emptying.Wait()
	}
}

// shutdown ends what is left: the queue of new connections once it is empty, connections as they fall idle, and at the
// cutoff those that have brought half a request. What has been taken gets its answer even then: the loop fails it at the
// cutoff, an answer that is being passed on may take longer, and whoever wants it ended kills the process. No connection
// comes after the last look, since by then the listener is closed and nothing accepts.
func (f *frontend) shutdown(cutoff time.Time) {
	for listening := true; ; time.Sleep(drainStep) {
		late := !time.Now().Before(cutoff)
		if listening && (late || !f.clients.HasPending()) {
			f.clients.Close()
			<-f.served
			listening = false
		}
		if others, taken := f.clients.CloseIdle(0, acceptAfter); !listening && (others == 0 || late && taken == 0) {
			break
		}
	}
	_ = f.server.Close()
}
