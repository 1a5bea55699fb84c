// Package clientconn accepts the connections of clients up to a limit and tracks which of them carry a request, so that
// others can be evicted or closed without losing a request.
package clientconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"baylock/internal/socket"
)

// RequestGrace is the usual value of Options.RequestGrace: net/http reports a complete head well within it.
const RequestGrace = 100 * time.Millisecond

// Options are the properties of a Listener.
type Options struct {
	MaxConnections int // open at a time

	// RequestGrace protects a connection on which bytes of a request have arrived this lately from being evicted. With
	// zero an incomplete request protects none.
	RequestGrace time.Duration

	// WaitForCapacity has a new connection wait while none can be evicted, rather than be closed at once.
	WaitForCapacity bool
}

// Listener accepts connections up to a limit. At the limit it accepts further ones, and evicts a connection without a
// request for each; left in the kernel's queue, a client with a request would wait behind idle ones. Where all carry
// requests the new connection is closed, or waits if the Options say so.
//
// The ConnState of the http.Server that serves it has to call TrackState. The embedded listener has to be set before the
// first Accept. All methods are safe for concurrent use.
type Listener struct {
	net.Listener
	requestGrace    time.Duration
	waitForCapacity bool
	capacity        chan struct{} // holds a value once there may be capacity for a connection that waits
	closed          chan struct{} // closed with the listener
	closeOnce       sync.Once

	mu             sync.Mutex // guards the fields below
	maxConnections int
	connections    map[net.Conn]*Conn
	unused         *list.List // of *Conn that have brought no request, the oldest first
	idle           *list.List // of *Conn between two requests, the one idle longest first
}

// Stats are the numbers of a listener's connections at one time.
type Stats struct {
	Max    int // open at a time at most
	Open   int
	Unused int // have brought no request yet
	Idle   int // between two requests
}

// NewListener returns a Listener that accepts from another.
func NewListener(inner net.Listener, options Options) *Listener {
	return &Listener{
		Listener:        inner,
		requestGrace:    options.RequestGrace,
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

// admitOrWait admits a connection, if need be after a wait for capacity. It returns nil if there is none.
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

func (l *Listener) admit(inner net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections {
		if !l.evictLocked() {
			return nil
		}
	}
	c := &Conn{Conn: inner, listener: l, acceptedAt: time.Now()}
	l.connections[c] = c
	l.moveLocked(c, l.unused)
	return c
}

// signalCapacity has a connection that waits look again: another one has ended, or its bytes have been read.
func (l *Listener) signalCapacity() {
	select {
	case l.capacity <- struct{}{}:
	default:
	}
}

// Close closes the listener; connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetMaxConnections changes the limit. Connections over it that carry no request are closed.
func (l *Listener) SetMaxConnections(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = n
	for len(l.connections) > l.maxConnections && l.evictLocked() {
	}
}

// TrackState follows the states that net/http gives to a connection. A request is open from StateActive, when its head
// has been read, to StateIdle, when its response has been written.
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
		l.moveLocked(c, l.idle)
	case http.StateClosed, http.StateHijacked:
		l.removeLocked(c)
	}
}

// moveLocked makes a connection that carries no request the last of a list, or with nil takes it out of its list.
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
	delete(l.connections, c)
	l.signalCapacity()
}

// Stats returns the present numbers of connections.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Max: l.maxConnections, Open: len(l.connections), Unused: l.unused.Len(), Idle: l.idle.Len()}
}

// Connections returns the open connections, in no order.
func (l *Listener) Connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	connections := make([]*Conn, 0, len(l.connections))
	for _, c := range l.connections {
		connections = append(connections, c)
	}
	return connections
}

// HasPending reports whether connections wait to be accepted. Closing the listener would reset them.
func (l *Listener) HasPending() bool { return socket.HasPendingConnections(l.Listener) }
