package proxy

import (
	"bytes"
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baylock/internal/message"
	"baylock/internal/socket"
)

const (
	// A connection that has said nothing for this long is no client about to ask.
	silentGrace = 250 * time.Millisecond
	justHeard   = 100 * time.Millisecond // see clients.just

)

// clients accepts the connections of clients and knows which of them carry a request. It goes on accepting
// at the limit: were the rest left in the kernel, connections that ask nothing would shut out those that do.
// The longest silent or idle one makes room; where all carry requests, the new one is closed at once, unless it may wait.
type clients struct {
	net.Listener
	most    int           // open connections
	just    time.Duration // bytes that came this lately may be a request that is not yet known of
	mayWait bool          // for room, as it comes soon
	changed chan struct{} // holds a word once there may be room for a connection that waits
	closed  chan struct{} // closed with the listener
	closing sync.Once

	mu     sync.Mutex
	conns  map[net.Conn]*clientConn
	silent *list.List // of *clientConn that have never asked, the longest first
	idle   *list.List // of *clientConn between two requests, the longest first
}

// clientConn is one client's connection. While it carries no request it has a place in one of the lists.
type clientConn struct {
	net.Conn
	of    *clients
	came  time.Time
	since time.Time    // of its place
	heard atomic.Int64 // when bytes last came, in Unix nanoseconds
	asked atomic.Bool  // a request has been answered on it
	head  head
	list  *list.List // nil while a request is open
	place *list.Element
}

func newClients(l net.Listener, most int) *clients {
	return &clients{Listener: l, most: most, just: justHeard, changed: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[net.Conn]*clientConn{}, silent: list.New(), idle: list.New()}
}

// Accept returns the next connection for which there is room.
func (l *clients) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admitInTime(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// admitInTime admits a connection, if need be after a wait for room where it may wait. It returns nil if there is none.
func (l *clients) admitInTime(nc net.Conn) *clientConn {
	for {
		if c := l.admit(nc); c != nil || !l.mayWait {
			return c
		}
		select {
		case <-l.changed:
		case <-l.closed:
			return nil
		}
	}
}

// roomMayHaveCome has a connection that waits look again: another one has ended, or what had come on it has been read.
func (l *clients) roomMayHaveCome() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Close closes the listener; connections stay.
func (l *clients) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *clients) admit(nc net.Conn) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.most {
		if !l.evict() {
			return nil
		}
	}
	c := &clientConn{Conn: nc, of: l, came: time.Now()}
	l.conns[c] = c
	l.rest(c, l.silent)
	return c
}

// limit takes another number of connections at most. What is over it and carries no request is closed: the descriptors
// are another process's now.
func (l *clients) limit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.most = most; len(l.conns) > l.most && l.evict(); {
	}
}

// evict closes one connection that carries no request: the longest silent one unless that is too young to be
// told from a client about to ask, then the longest idle one, then the longest silent one after all.
func (l *clients) evict() bool {
	now := time.Now()
	if e := l.silent.Front(); e != nil && now.Sub(e.Value.(*clientConn).since) > silentGrace && l.evictFrom(l.silent, now) {
		return true
	}
	return l.evictFrom(l.idle, now) || l.evictFrom(l.silent, now)
}

// evictFrom spares connections on which something has come that net/http has not reported yet: closing them
// would cost a request.
func (l *clients) evictFrom(from *list.List, now time.Time) bool {
	for e := from.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		heard := time.Unix(0, c.heard.Load())
		if !(c.head.begun() && now.Sub(heard) < l.just) && socket.IsQuiet(c) {
			l.remove(c)
			c.Conn.Close()
			return true
		}
	}
	return false
}

// rest gives a connection that carries no request the last place in a list; nil takes its place away.
func (l *clients) rest(c *clientConn, in *list.List) {
	if c.list != nil {
		c.list.Remove(c.place)
	}
	if c.list = in; in != nil {
		c.since, c.place = time.Now(), in.PushBack(c)
	}
}

func (l *clients) remove(c *clientConn) {
	l.rest(c, nil)
	delete(l.conns, c)
	l.roomMayHaveCome()
}

// state follows what net/http makes of a connection. A request is open from StateActive, when its head has
// come, to StateIdle, when its answer has been written.
func (l *clients) state(nc net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[nc]
	if c == nil {
		return // evicted
	}
	switch s {
	case http.StateActive:
		l.rest(c, nil)
	case http.StateIdle:
		c.asked.Store(true)
		l.rest(c, l.idle)
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// count tells how many connections are open.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// lines tells how many connections clients have that have brought a request, and how many of them are free for
// the next.
func (l *clients) lines() (all, free int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.silent.Len(), l.idle.Len()
}

// closeIdle closes the connections that have carried no request for idleFor, and returns how many others there are and
// how many of these carry one. One that is newer than newFor, or on which something of a request has come, is left alone:
// closing it would lose that.
func (l *clients) closeIdle(idleFor, newFor time.Duration) (others, taken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		rested := time.Since(c.since)
		ripe := c.list == l.idle && rested >= idleFor || c.list == l.silent && rested > newFor
		if ripe && socket.IsQuiet(c) && !c.head.begun() {
			l.remove(c)
			c.Conn.Close()
			continue
		}
		others++
		if c.list == nil {
			taken++
		}
	}
	return others, taken
}

// queued tells whether connections wait to be accepted: to close the listener would reset them.
func (l *clients) queued() bool {
	return socket.HasPendingConnections(l.Listener)
}

// Read notes when bytes came.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
		c.head.note(b[:n])
		c.of.roomMayHaveCome()
	}
	return n, err
}

// head looks at the head of a connection's next request as it comes. What net/http makes of it no longer shows
// whether it gave two framings, so that the body may hide another request.
type head struct {
	mu    sync.Mutex
	bytes []byte // of one that has not ended
	ended bool
	sound bool // it has ended and says in one way where its body ends
}

// next begins another head.
func (h *head) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes, h.ended, h.sound = nil, false, false
}

func (h *head) note(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	if len(h.bytes) > 0 {
		h.bytes = append(h.bytes, b...)
		b = h.bytes
	}
	if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
		h.bytes, h.ended, h.sound = nil, true, !message.HasConflictingFraming(b[:end])
	} else if len(b) > 2*maxHead {
		h.bytes, h.ended = nil, true
	} else if len(h.bytes) == 0 {
		h.bytes = bytes.Clone(b)
	}
}

// begun tells whether something of a request has come that has not been taken.
func (h *head) begun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.bytes) > 0 || h.ended
}

func (h *head) isSound() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sound
}

// left tells whether the client has closed its connection or reset it. Unlike a read it sees that behind bytes that
// nobody has read yet, and it may be asked at any time.
func (c *clientConn) left() bool {
	return socket.PeerClosed(c)
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its error.
func (c *clientConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// SyscallConn lets quiet look at the socket.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
