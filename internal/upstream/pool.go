package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the connections to all listed endpoints. It is safe for concurrent use.
type Pool struct {
	// DialContext opens connections. It may be replaced before the first use of the pool; NewPool sets a function that
	// applies the dial timeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	dialTimeout      atomic.Int64  // used by the default DialContext, in nanoseconds
	staleResetWindow time.Duration // the constant of this name, except in tests
	hedging          *hedgePolicy
	lateDials        sync.WaitGroup // goroutines that wait for the losing dials of races and pool their connections
	closed           chan struct{}  // closed by Close

	mu          sync.Mutex    // guards the fields below and the fields of all endpoints
	idleTimeout time.Duration // maximum of reuseLimit; below the time after which endpoints close idle connections
	reuseLimit  time.Duration // connections idle for longer are not reused, and Sweep closes them
	maxOpen     int           // maximum of open
	open        int           // open connections, including those being dialed
	endpoints   map[string]*endpoint
	detached    map[string]bool // names of endpoints that operators have detached, whether listed or not
}

// NewPool returns a pool without endpoints that opens at most maxOpen connections. SetTimeouts describes the timeouts.
func NewPool(dialTimeout, endpointIdleTimeout time.Duration, maxOpen int) *Pool {
	p := &Pool{maxOpen: maxOpen, staleResetWindow: staleResetWindow, hedging: newHedgePolicy(),
		closed: make(chan struct{}), endpoints: map[string]*endpoint{}, detached: map[string]bool{}}
	p.DialContext = p.dialWithTimeout
	p.SetTimeouts(dialTimeout, endpointIdleTimeout)
	return p
}

// SetTimeouts sets the timeout of a dial and the time after which endpoints close idle connections; the pool closes
// idle connections well before that. Open connections stay open, and pending dials keep their previous timeout.
func (p *Pool) SetTimeouts(dialTimeout, endpointIdleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimeout.Store(int64(dialTimeout))
	previous := p.idleTimeout
	p.idleTimeout = endpointIdleTimeout * 3 / 4
	if p.reuseLimit == previous { // not lowered by a stale connection
		p.reuseLimit = p.idleTimeout
	}
	p.reuseLimit = min(p.reuseLimit, p.idleTimeout)
}

// SetMaxOpen sets the maximum number of open connections and closes idle connections that exceed it.
func (p *Pool) SetMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for p.open > p.maxOpen && p.closeOldestLocked() {
	}
}

// Stats is a snapshot of the pool's state.
type Stats struct {
	Endpoints   int // listed endpoints
	MaxOpen     int // maximum of Open
	Open        int // open connections, including those being dialed
	Idle        int // idle connections
	DialTimeout time.Duration
	IdleTimeout time.Duration // maximum of ReuseLimit
	ReuseLimit  time.Duration // connections that are idle for longer are not reused, and Sweep closes them
}

// Stats returns the current state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Endpoints: len(p.endpoints), MaxOpen: p.maxOpen, Open: p.open,
		DialTimeout: time.Duration(p.dialTimeout.Load()), IdleTimeout: p.idleTimeout, ReuseLimit: p.reuseLimit}
	for _, e := range p.endpoints {
		s.Idle += len(e.idle)
	}
	return s
}

// Close cancels the dials that lost a race and are still pending, waits until they have ended and closes the idle
// connections. No attempt may be in flight or start later.
func (p *Pool) Close() {
	close(p.closed)
	p.lateDials.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		p.advanceGenerationLocked(e)
	}
}

// hasCapacity reports whether a connection can be opened without closing another.
func (p *Pool) hasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open < p.maxOpen
}

// reserve counts a connection that is about to be dialed. At the limit it closes the connection that has been idle the
// longest, and returns false if no connection is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open >= p.maxOpen {
		if !p.closeOldestLocked() {
			return false
		}
	}
	p.open++
	return true
}

// unreserve reverts reserve after a failed dial.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeOldestLocked closes the connection that has been idle the longest, and reports whether there was one.
func (p *Pool) closeOldestLocked() bool {
	var oldest *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

func (p *Pool) closeLocked(c *conn) {
	c.Close()
	p.open--
}
