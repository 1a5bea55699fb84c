package message

import "sync"

const (
	bytesPerMB = 1 << 20

	budgetDivisor   = 8       // buffered bodies may use the memory limit divided by this
	defaultMemoryMB = 64      // assumed if no memory limit is set
	minBudget       = 2 << 20 // bytes
)

// Budget limits the memory used by all buffered bodies of a process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex // guards the fields below
	limit int64      // bytes
	used  int64      // bytes
}

// SetLimit derives the budget from the process's memory limit in MB; 0 means that no limit is set.
func (b *Budget) SetLimit(memoryMB float64) {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(minBudget, int64(memoryMB*bytesPerMB)/budgetDivisor)
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

// Reserve returns an empty reservation for the bodies of one request.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a Budget that the bodies of one request use, until Release is called. A nil Reservation
// is unlimited.
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
	if r.released || r.budget.used+n > r.budget.limit {
		return false
	}
	r.budget.used += n
	r.bytes += n
	return true
}

// Release returns all reserved bytes to the budget. Later calls of Grow fail, and later calls of Release do nothing.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.bytes
	r.bytes = 0
	r.released = true
}
