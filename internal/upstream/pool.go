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
	// DialContext opens connections. It is set before the first use of the pool; NewPool sets one that keeps to the
	// dial timeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	dialTimeout      atomic.Int64  // of the default DialContext, in nanoseconds
	staleResetWindow time.Duration // see the constant of this name
	hedging          *hedgePolicy
	lateDials        sync.WaitGroup // goroutines that keep the connections of lost races
	closed           chan struct{}  // closed by Close

	mu          sync.Mutex    // guards the fields below and those of all endpoints
	idleTimeout time.Duration // connections that have been idle for longer are closed
	reuseLimit  time.Duration // and those idle for longer than this are not used; at most idleTimeout
	maxOpen     int           // connections, those being dialed included
	open        int           // connections, those being dialed included
	endpoints   map[string]*endpoint
	detached    map[string]bool // names of endpoints that operators have detached, listed or not
}

// NewPool returns a pool without endpoints that opens at most maxOpen connections. The timeouts are those of
// SetTimeouts.
func NewPool(dialTimeout, endpointIdleTimeout time.Duration, maxOpen int) *Pool {
	p := &Pool{maxOpen: maxOpen, staleResetWindow: staleResetWindow, hedging: newHedgePolicy(),
		closed: make(chan struct{}), endpoints: map[string]*endpoint{}, detached: map[string]bool{}}
	p.DialContext = p.dialWithTimeout
	p.SetTimeouts(dialTimeout, endpointIdleTimeout)
	return p
}

// SetTimeouts sets the time limit of a dial, and after how long endpoints close idle connections; the pool closes them
// well before. Open connections stay, and dials that have begun keep their limit.
func (p *Pool) SetTimeouts(dialTimeout, endpointIdleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimeout.Store(int64(dialTimeout))
	previous := p.idleTimeout
	p.idleTimeout = endpointIdleTimeout * 3 / 4
	if p.reuseLimit == previous { // no endpoint has closed a connection early
		p.reuseLimit = p.idleTimeout
	}
	p.reuseLimit = min(p.reuseLimit, p.idleTimeout)
}

// SetMaxOpen sets how many connections may be open. Idle ones above that are closed.
func (p *Pool) SetMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for p.open > p.maxOpen && p.closeOldestLocked() {
	}
}

// Stats describes the pool at one instant.
type Stats struct {
	Endpoints   int // listed
	MaxOpen     int // connections
	Open        int // connections, those being dialed included
	Idle        int // connections
	DialTimeout time.Duration
	IdleTimeout time.Duration // connections idle for longer are closed
	ReuseLimit  time.Duration // connections idle for longer are not used
}

// Stats returns the present state of the pool.
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

// Close cancels the dials that no attempt waits for, waits until they have ended, and closes the idle connections. No
// attempt may be in flight, or begin later.
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

// reserve counts a connection that is about to be dialed. At the limit it closes the connection that has been idle for
// longest, and reports false if there is none.
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

// unreserve undoes reserve after a dial that failed.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeOldestLocked closes the connection that has been idle for longest, and reports whether there was one.
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
