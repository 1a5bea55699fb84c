// Package clientconn accepts client connections up to a limit and tracks which of them have an open request, so that the
// others can be evicted or closed without losing a request.
package clientconn

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"baylock/internal/message"
	"baylock/internal/rejection"
	"baylock/internal/socket"
)

// RequestGrace is the usual value of Options.RequestGrace. net/http reports a complete head well within this time.
const RequestGrace = 100 * time.Millisecond

// Options configures a Listener.
type Options struct {
	MaxConnections int // maximum number of open connections

	// RequestGrace is how long a connection is protected from eviction after bytes of a request have arrived. If it is
	// zero, an incomplete request that has been read does not protect its connection.
	RequestGrace time.Duration

	// HeadBudget limits the memory of heads that are larger than usual, of all connections together. A head that it does not
	// allow is answered with 503. Nil means no limit.
	HeadBudget *message.Budget

	Log *slog.Logger // of rejected heads; nil for none

	// Overloaded reports whether there is no memory for further connections: a new one then takes the place of an evicted one,
	// or is closed. Nil means never.
	Overloaded func() bool

	// WaitForCapacity makes a new connection wait while none can be evicted, instead of being closed at once.
	WaitForCapacity bool
}

// Listener accepts connections up to a limit. At the limit it still accepts new connections, and evicts one without an
// open request for each of them: if new connections were left in the kernel's accept queue, a client with a request
// would wait behind idle ones. If all connections have open requests, the new connection is closed, or waits if
// Options.WaitForCapacity is set.
//
// The ConnState hook of the http.Server that serves it has to call TrackState. The embedded listener has to be set
// before the first Accept. All methods are safe for concurrent use.
type Listener struct {
	net.Listener
	requestGrace    time.Duration
	headBudget      *message.Budget
	rejections      *rejection.Log // of heads
	overloaded      func() bool
	waitForCapacity bool
	capacity        chan struct{} // holds a value when there may be capacity for a waiting connection
	closed          chan struct{} // closed with the listener
	closeOnce       sync.Once

	mu             sync.Mutex // guards the fields below
	maxConnections int
	connections    map[net.Conn]*Conn
	unused         *list.List // of *Conn without any request so far, the oldest first
	idle           *list.List // of *Conn between two requests, the one idle longest first
}

// Stats counts a listener's connections at one point in time.
type Stats struct {
	Max    int // limit of open connections
	Open   int
	Unused int // without any request so far
	Idle   int // between two requests
}

// NewListener returns a Listener that accepts connections from inner.
func NewListener(inner net.Listener, options Options) *Listener {
	return &Listener{
		Listener:        inner,
		requestGrace:    options.RequestGrace,
		headBudget:      options.HeadBudget,
		rejections:      rejection.NewLog(options.Log, "large request heads rejected for lack of memory"),
		overloaded:      options.Overloaded,
		waitForCapacity: options.WaitForCapacity,
		capacity:        make(chan struct{}, 1),
		closed:          make(chan struct{}),
		maxConnections:  options.MaxConnections,
		connections:     map[net.Conn]*Conn{},
		unused:          list.New(),
		idle:            list.New(),
	}
}

// Accept returns the next connection for which there is capacity.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admitOrWait(inner); c != nil {
			return c, nil
		}
		inner.Close()
	}
}

// admitOrWait admits a connection, and waits for capacity first if the options say so. It returns nil if there is none.
func (l *Listener) admitOrWait(inner net.Conn) *Conn {
	for {
		if c := l.admit(inner); c != nil || !l.waitForCapacity {
			return c
		}
		select {
		case <-l.capacity:
		case <-l.closed:
			return nil
		}
	}
}

// admit admits a connection if the limit allows it after evictions. Otherwise it returns nil.
func (l *Listener) admit(inner net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections {
		if !l.evictLocked() {
			return nil
		}
	}
	if l.overloaded != nil && l.overloaded() && !l.evictLocked() {
		return nil
	}
	c := &Conn{Conn: inner, listener: l, acceptedAt: time.Now()}
	c.headMemory.reservation = l.headBudget.Reserve()
	l.connections[c] = c
	l.moveLocked(c, l.unused)
	return c
}

// signalCapacity makes a waiting connection retry, after another connection has ended or bytes on it have been read.
func (l *Listener) signalCapacity() {
	select {
	case l.capacity <- struct{}{}:
	default:
	}
}

// Close closes the listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetMaxConnections changes the limit. Connections above the limit are closed if they have no open request.
func (l *Listener) SetMaxConnections(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = n
	for len(l.connections) > l.maxConnections && l.evictLocked() {
	}
}

// TrackState records a connection's state as reported by net/http. A request is open from StateActive, when its head has
// been read, until StateIdle, when its response has been written.
func (l *Listener) TrackState(connection net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.connections[connection]
	if c == nil {
		return // evicted
	}
	switch state {
	case http.StateActive:
		l.moveLocked(c, nil)
	case http.StateIdle:
		c.servedRequest.Store(true)
		c.headMemory.requestDone()
		l.moveLocked(c, l.idle)
	case http.StateClosed, http.StateHijacked:
		l.removeLocked(c)
	}
}

// moveLocked removes a connection from its current list and, if target is not nil, appends it to that list.
func (l *Listener) moveLocked(c *Conn, target *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = target
	if target != nil {
		c.listedAt, c.element = time.Now(), target.PushBack(c)
	}
}

func (l *Listener) removeLocked(c *Conn) {
	l.moveLocked(c, nil)
	c.headMemory.release()
	delete(l.connections, c)
	l.signalCapacity()
}

// Stats returns the current numbers of connections.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Max: l.maxConnections, Open: len(l.connections), Unused: l.unused.Len(), Idle: l.idle.Len()}
}

// Connections returns the open connections in no particular order.
func (l *Listener) Connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	connections := make([]*Conn, 0, len(l.connections))
	for _, c := range l.connections {
		connections = append(connections, c)
	}
	return connections
}

// HasPending reports whether connections are waiting in the accept queue. Closing the listener would reset them.
func (l *Listener) HasPending() bool { return socket.HasPendingConnections(l.Listener) }
