package message

import "sync"

// DefaultMemoryMB is the memory limit in MB that is assumed if none is set.
const DefaultMemoryMB = 64

const (
	bytesPerMB = 1 << 20

	bodiesDivisor = 8       // buffered bodies may use the memory limit divided by this
	headsDivisor  = 16      // heads of requests may use the memory limit divided by this
	minBodies     = 2 << 20 // bytes
	minHeads      = 1 << 20 // bytes
)

// Budget limits the memory that a process uses for one purpose, for all requests together. It is safe for concurrent use.
type Budget struct {
	divisor int64 // the process's memory limit is divided by it
	least   int64 // bytes that are allowed whatever the memory limit is

	mu    sync.Mutex // guards the fields below
	limit int64      // bytes
	used  int64      // bytes
}

// NewBodyBudget returns a budget for buffered bodies. It allows nothing until SetLimit is called.
func NewBodyBudget() *Budget { return &Budget{divisor: bodiesDivisor, least: minBodies} }

// NewHeadBudget returns a budget for the heads of requests. It allows nothing until SetLimit is called.
func NewHeadBudget() *Budget { return &Budget{divisor: headsDivisor, least: minHeads} }

// SetLimit derives the budget from the process's memory limit in MB; 0 means that no limit is set.
func (b *Budget) SetLimit(memoryMB float64) {
	if memoryMB == 0 {
		memoryMB = DefaultMemoryMB
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(b.least, int64(memoryMB*bytesPerMB)/b.divisor)
}

// Limit returns how many bytes the budget allows.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// InUse returns how many bytes are reserved.
func (b *Budget) InUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reserve returns an empty reservation. That of a nil Budget is nil.
func (b *Budget) Reserve() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Reservation is the part of a Budget that one user, a request or a connection, has reserved until Release is called. A nil
// Reservation is unlimited.
type Reservation struct {
	budget   *Budget
	bytes    int64 // guarded by budget.mu, as is released
	released bool
}

// Grow reserves n more bytes. It reports false, with nothing reserved, if the budget does not allow them or the
// reservation has been released.
func (r *Reservation) Grow(n int64) bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.growLocked(n)
}

// Resize makes the reservation n bytes large. It reports false, with nothing changed, if the budget does not allow that or
// the reservation has been released. It always allows a reservation to shrink.
func (r *Reservation) Resize(n int64) bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.growLocked(n - r.bytes)
}

// growLocked adds n bytes to the reservation, or removes -n if n is negative.
func (r *Reservation) growLocked(n int64) bool {
	if r.released || n > 0 && r.budget.used+n > r.budget.limit {
		return false
	}
	r.budget.used += n
	r.bytes += n
	return true
}

// Release returns all reserved bytes to the budget. Later calls of Grow fail, and later calls of Release do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.bytes
	r.bytes = 0
	r.released = true
}
