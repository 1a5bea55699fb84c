package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/discovery"
	"fernlanding/logic"
)

const (
	answerHead = 8 << 10 // of a backend's answer, before its body
	mostEarly  = 8       // 1xx answers ahead of one, at most

	// Once an answer has begun, the rest of it is on its way, if in pieces; one whose length does not fit never ends.
	answerStall = 500 * time.Millisecond
	earlyLeft   = 100 * time.Millisecond // for an answer that a backend gave before it had the whole request
	// A second answer or noise may follow an answer. It came within 2 ms where it was seen; a connection that
	// is used again sooner could take it for the next request's answer.
	restFor = 20 * time.Millisecond

	// A backend may drop idle connections long before the settings' time, and not all of them with a word: the
	// next request on one is then reset, this soon after it was written, and may not be sent again if it is
	// unsafe to repeat. Connections are then trusted for half the age of that one, though not for less than
	// trustLeast, and from sweep to sweep for trustBack times as long again.
	staleWithin = 10 * time.Millisecond
	trustLeast  = 2 * restFor
	trustBack   = 1.05
)

// backends holds the connections to all backends of the list. It stands in for http.Transport, which by
// itself sends a GET or a keyed request again when a kept connection turns out to be dead: an attempt that
// the module would not know of.
type backends struct {
	dialer  func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration // connections idle for longer are closed, well before the backend does it
	most    int           // open connections, those being opened included

	staleWithin time.Duration

	mu      sync.Mutex
	byName  map[string]*backend
	out     map[string]bool // those that operators have taken out, listed or not
	open    int
	trusted time.Duration // connections idle for longer are not used: idleFor, or less where backends close early
}

// backend is one backend as the list now has it.
type backend struct {
	name    string
	addr    string
	zone    string
	group   int
	started int64
	serving bool    // as the list says
	ready   bool    // that, and operators have not taken it out
	epoch   int     // goes up when what is said of it changes: drained, gone, restarted, moved, regrouped or taken out
	idle    []*conn // the most recently used last
}

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	of    *backend
	epoch int // of the backend when it was opened
	since time.Time
	idled time.Duration // before its present use; 0 on the first
	used  bool          // something was written for its present use

	stall time.Duration // each piece of what is read has this long; 0: no limit of its own
	until time.Time     // and nothing may be read later than this, if not zero
	gone  atomic.Bool   // cut
}

// cut ends all reads and writes, now and later.
func (c *conn) cut() {
	c.gone.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// Read gives what comes while it comes.
func (c *conn) Read(b []byte) (int, error) {
	if c.stall > 0 {
		due := time.Now().Add(c.stall)
		if !c.until.IsZero() && c.until.Before(due) {
			due = c.until
		}
		_ = c.SetReadDeadline(due)
		if c.gone.Load() { // while the deadline was set
			return 0, os.ErrDeadlineExceeded
		}
	}
	return c.Conn.Read(b)
}

// SyscallConn lets quiet look at the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

func newBackends(dialTimeout, idleClose time.Duration, most int) *backends {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &backends{dialer: d.DialContext, idleFor: idleClose * 3 / 4, trusted: idleClose * 3 / 4, most: most,
		staleWithin: staleWithin, byName: map[string]*backend{}, out: map[string]bool{}}
}

// apply takes a list or its changes. Connections that stand idle to a backend which has restarted, moved,
// drained or gone are closed: nothing new is to go there, or the process at their other end is no more.
func (p *backends) apply(full bool, entries []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		b := p.byName[e.Name]
		if b == nil {
			b = &backend{name: e.Name}
			p.byName[e.Name] = b
		}
		if serving := e.Status == discovery.Serving; b.addr != e.Address || b.started != e.SinceMs || b.serving != serving ||
			b.zone != e.Zone || b.group != e.Group {
			b.addr, b.started, b.serving, b.ready = e.Address, e.SinceMs, serving, serving && !p.out[e.Name]
			b.zone, b.group = e.Zone, e.Group
			p.turn(b)
		}
		if e.Status == discovery.Deleted {
			delete(p.byName, e.Name)
		}
	}
	for name, b := range p.byName {
		if full && !listed[name] {
			b.ready = false
			p.turn(b)
			delete(p.byName, name)
		}
	}
}

// turn begins a new epoch of a backend.
func (p *backends) turn(b *backend) {
	b.epoch++
	for _, c := range b.idle {
		p.closeLocked(c)
	}
	b.idle = nil
}

// takeOut takes the operators' word that a backend gets nothing more, or may serve again. Its process may not be
// the same then, so no connection outlives either.
func (p *backends) takeOut(name string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if out {
		p.out[name] = true
	} else {
		delete(p.out, name)
	}
	if b := p.byName[name]; b != nil {
		b.ready = b.serving && !out
		p.turn(b)
	}
}

// known tells whether the list names a backend.
func (p *backends) known(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name] != nil
}

// limit takes another number of connections at most; idle ones over it are closed.
func (p *backends) limit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for p.open > p.most && p.closeOldest() {
	}
}

// find returns a listed backend that takes new requests, with its address and epoch.
func (p *backends) find(name string) (b *backend, addr string, epoch int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b = p.byName[name]; b == nil || !b.ready {
		return nil, "", 0, false
	}
	return b, b.addr, b.epoch, true
}

// current tells whether the list says of b what it said in that epoch.
func (p *backends) current(b *backend, epoch int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.epoch == epoch
}

// reuse takes the most recently used idle connection that has rested and that its peer has left quiet.
func (p *backends) reuse(b *backend, epoch int) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.epoch != epoch {
		return nil
	}
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		idled := now.Sub(c.since)
		if idled < restFor {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if idled < p.trusted && quiet(c.Conn) {
			c.idled = idled
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

var errNoSockets = errors.New("no socket left")

// dial opens a connection within the dial time-out and the context's time.
func (p *backends) dial(ctx context.Context, b *backend, addr string, epoch int) (*conn, error) {
	if !p.reserve() {
		return nil, errNoSockets
	}
	nc, err := p.dialer(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", b.name, err)
	}
	c := &conn{Conn: nc, of: b, epoch: epoch}
	c.r = bufio.NewReaderSize(c, answerHead)
	return c, nil
}

// reserve counts a connection in. At the limit the one that has been idle longest makes room.
func (p *backends) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open >= p.most {
		if !p.closeOldest() {
			return false
		}
	}
	p.open++
	return true
}

// closeOldest closes the connection that has been idle longest, if there is one.
func (p *backends) closeOldest() bool {
	var oldest *backend
	for _, b := range p.byName {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// keep puts a connection back for reuse, unless its backend has changed since it was opened.
func (p *backends) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.of.epoch != c.epoch || !c.of.ready {
		p.closeLocked(c)
		return
	}
	if c.used || c.since.IsZero() { // for its peer one that was only looked at has stood idle all along
		c.since = time.Now()
	}
	c.used, c.stall, c.until = false, 0, time.Time{}
	c.of.idle = append(c.of.idle, c)
}

// stale takes the news that a kept connection was found dead by the request written to it.
func (p *backends) stale(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trusted = max(trustLeast, min(p.trusted, c.idled/2))
}

// drop closes a connection.
func (p *backends) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *backends) closeLocked(c *conn) {
	c.Close()
	p.open--
}

// sweep closes the idle connections whose time is up or whose peer has closed them.
func (p *backends) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trusted = min(p.idleFor, time.Duration(trustBack*float64(p.trusted)))
	for _, b := range p.byName {
		kept := b.idle[:0]
		for _, c := range b.idle {
			if now.Sub(c.since) < p.trusted && quiet(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}

// quiet tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// attempt is one Send of the module on its way.
type attempt struct {
	req      *request
	number   int
	sent     int64 // when the module decided, or when the last byte of a streamed request went out
	deadline time.Time
	lapse    time.Time // a repeat that reached the backend later than this would run again; zero for none
	pool     *backends
	backend  *backend
	addr     string
	epoch    int
	ctx      context.Context // its end stops the attempt
	stop     context.CancelFunc
	uploaded func(time.Time) time.Time // tells when the last byte of a streamed request went out; returns the new deadline
	begin    func(*download)           // hands an answer over that is passed on as it comes

	spoken atomic.Bool // the backend has said something, while the request was passed on as it came

	began bool // the loop's: the answer is being passed on
}

// result is how an attempt ended.
type result struct {
	status  logic.Status
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
		res.spent = u.used.Load()
		if err := u.failure(); res.spent && err != nil && a.ctx.Err() == nil && res.status != logic.OK {
			res.fault = http.StatusBadRequest
			if errors.Is(err, errTooLong) {
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
		kept := c != nil
		if !kept {
			var err error
			if c, err = a.dial(); err != nil {
				if a.ctx.Err() != nil || a.lapsed() || errors.Is(err, errNoSockets) {
					return result{status: logic.Moot} // stopped before anything was sent, or no fault of the backend's
				}
				return result{status: logic.ConnectFailed}
			}
		}
		res, keep := a.exchange(c)
		if keep {
			a.pool.keep(c)
		} else {
			a.pool.drop(c)
		}
		if !res.unused || !kept {
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
	if !quiet(c.Conn) {
		return result{status: logic.ConnectFailed, unused: true}, false
	}
	c.used = true
	return result{}, true
}

// due tells whether the attempt may still begin; if not, with what it ends. A dial takes time, and so does a busy core:
// it is asked again right before the first byte. What has ended, drained or gone by then gets nothing new, and nothing
// is sent for a client that has left.
func (a *attempt) due() (result, bool) {
	if a.ctx.Err() != nil || a.late() || a.lapsed() || !a.pool.current(a.backend, a.epoch) {
		return result{status: logic.Moot}, false
	}
	if a.req.left() {
		return result{status: logic.Moot, left: true}, false
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

func (a *attempt) dial() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.by(a.deadline))
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.addr, a.epoch)
}

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
			return result{status: logic.Moot}, true
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
			return result{status: logic.ConnectFailed}, false
		}
	}
	res, keep, err := a.read(c)
	switch {
	case err == nil:
		return res, keep
	case a.ctx.Err() != nil && !a.late():
		return result{status: logic.Cancelled}, false
	case a.late():
		return result{status: logic.TimedOut}, false
	}
	if c.idled > 0 && errors.Is(err, errNoAnswer) && time.Since(written) < a.pool.staleWithin {
		a.pool.stale(c)
	}
	return result{status: logic.Reset}, false
}

// send passes a request on while its client writes it. ok tells whether an answer is to be read: all of the request
// has gone out. Before that a backend can only turn it away.
func (a *attempt) send(c *conn) (res result, ok bool) {
	a.req.rest.resume()
	w := &stalling{a: a, c: c, said: make(chan bool, 1), none: result{status: logic.Moot}}
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
			return result{status: logic.Reset}, false
		}
		return res, true
	}
	_ = c.SetReadDeadline(now.Add(earlyLeft)) // it may have said why it took no more
	if a.ctx.Err() != nil {
		c.cut()
	}
	said := <-w.said
	if !w.short && a.req.rest.complete() { // nothing proves that the last byte has not gone out
		return result{status: logic.Reset}, false
	}
	if !said || a.ctx.Err() != nil {
		return result{status: logic.ConnectFailed}, false
	}
	res, _, err = a.read(c)
	if err != nil || res.status == logic.OK { // nobody can have served what has not come whole
		return result{status: logic.ConnectFailed}, false
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
	_ = s.c.SetWriteDeadline(s.a.by(time.Now().Add(streamStall)))
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
	if u := s.a.req.rest; !u.ended.Load() {
		s.stopped.Store(true)
		_ = s.c.SetWriteDeadline(time.Unix(1, 0))
		u.interrupt()
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
		out.ContentLength = r.rest.length
	}
	if out.ContentLength != 0 {
		out.Body = io.NopCloser(body)
	}
	return &out
}

// head looks at the next head as it came, and leaves it to be read. What net/http makes of it no longer shows
// whether it gave two framings, of which one is wrong.
func (c *conn) head() error {
	for n := 1; ; {
		_, err := c.r.Peek(n)
		b, _ := c.r.Peek(c.r.Buffered())
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			if twoFramings(b[:end]) {
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

// twoFramings tells whether a head says in two ways where its body ends.
func twoFramings(head []byte) bool {
	h := bytes.ToLower(head)
	return bytes.Contains(h, []byte("\ncontent-length")) && bytes.Contains(h, []byte("\ntransfer-encoding"))
}

// read takes the answer. A short one is taken whole, so that one that breaks off has not been given; what is longer is
// passed on as it comes.
func (a *attempt) read(c *conn) (res result, keep bool, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return res, false, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	c.stall, c.until = answerStall, a.deadline
	var resp *http.Response
	for early := 0; resp == nil || resp.StatusCode < 200; early++ {
		if early > mostEarly {
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
	if resp.ContentLength > maxBody {
		return result{status: logic.Error}, false, nil
	}
	body, whole, err := hold(resp.Body, resp.ContentLength, a.req.lease, time.Now().Add(answerStall))
	if err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	if !whole && resp.StatusCode == http.StatusOK {
		return a.pass(c, resp, body)
	}
	keep = whole && !resp.Close && c.r.Buffered() == 0
	switch resp.StatusCode {
	case http.StatusOK:
		return result{status: logic.OK, body: body, content: resp.Header.Get("Content-Type")}, keep, nil
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// With anything behind it the answer is not one that can be believed.
		if resp.Header.Get("Not-Started") == "1" && c.r.Buffered() == 0 {
			return result{status: logic.FullUp}, keep, nil
		}
	}
	if c := resp.StatusCode; c >= 400 && c < 500 && c != http.StatusRequestTimeout && c != http.StatusTooManyRequests {
		return result{status: logic.Error, fault: c}, keep, nil
	}
	return result{status: logic.Error}, keep, nil // it may have run
}

// pass has an answer passed on as it comes. Its time was that of its first bytes; from here on only a rest ends it.
func (a *attempt) pass(c *conn, resp *http.Response, first []byte) (res result, keep bool, err error) {
	c.stall, c.until = streamStall, time.Time{}
	d := &download{first: first, body: resp.Body, length: resp.ContentLength, conn: c,
		content: resp.Header.Get("Content-Type"), done: make(chan error, 1)}
	a.begin(d)
	select {
	case err = <-d.done:
	case <-a.ctx.Done():
		err = a.ctx.Err()
	}
	return result{status: logic.OK}, err == nil && !resp.Close && c.r.Buffered() == 0, nil
}
