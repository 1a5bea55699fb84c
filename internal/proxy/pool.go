package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/socket"
)

const (
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
	dialer func(ctx context.Context, network, addr string) (net.Conn, error)

	dialTimeout atomic.Int64 // of the dialer, in nanoseconds
	staleWithin time.Duration
	hedges      *hedgePolicy

	mu      sync.Mutex
	idleFor time.Duration // connections idle for longer are closed, well before the backend does it
	most    int           // open connections, those being opened included
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
	p := &backends{most: most, staleWithin: staleWithin, hedges: newHedgePolicy(), byName: map[string]*backend{}, out: map[string]bool{}}
	p.dialer = p.dialInTime
	p.configure(dialTimeout, idleClose)
	return p
}

// configure takes the figures of the settings. Connections stay; dials that have begun keep their time.
func (p *backends) configure(dialTimeout, idleClose time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimeout.Store(int64(dialTimeout))
	before := p.idleFor
	p.idleFor = idleClose * 3 / 4
	if p.trusted == before { // no backend has closed one early
		p.trusted = p.idleFor
	}
	p.trusted = min(p.trusted, p.idleFor)
}

func (p *backends) dialInTime(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Duration(p.dialTimeout.Load()), KeepAlive: -1}
	return d.DialContext(ctx, network, addr)
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
			b.zone != e.Zone || b.group != e.Cell {
			b.addr, b.started, b.serving, b.ready = e.Address, e.SinceMs, serving, serving && !p.out[e.Name]
			b.zone, b.group = e.Zone, e.Cell
			p.advanceEpoch(b)
		}
		if e.Status == discovery.Deleted {
			delete(p.byName, e.Name)
		}
	}
	for name, b := range p.byName {
		if full && !listed[name] {
			b.ready = false
			p.advanceEpoch(b)
			delete(p.byName, name)
		}
	}
}

// advanceEpoch begins a new epoch of a backend.
func (p *backends) advanceEpoch(b *backend) {
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
		p.advanceEpoch(b)
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
		if idled < p.trusted && socket.IsQuiet(c.Conn) {
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

// hasRoom tells whether a connection can be opened without closing another.
func (p *backends) hasRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open < p.most
}

// zoneOf is the zone in which the list has a backend.
func (p *backends) zoneOf(b *backend) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.zone
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
			if now.Sub(c.since) < p.trusted && socket.IsQuiet(c.Conn) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(b.idle[len(kept):])
		b.idle = kept
	}
}
