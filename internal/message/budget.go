package message

import "sync"

const (
	bytesPerMB = 1 << 20

	budgetFraction  = 8       // buffered bodies may take this part of the memory limit: one in so many bytes
	defaultMemoryMB = 64      // where no memory limit is given
	minBudget       = 2 << 20 // bytes
)

// Budget bounds the memory of all buffered bodies of a process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex // guards the fields below
	limit int64      // bytes
	used  int64      // bytes
}

// SetLimit derives the budget from the process's memory limit in MB; 0 stands for none.
func (b *Budget) SetLimit(memoryMB float64) {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(minBudget, int64(memoryMB*bytesPerMB)/budgetFraction)
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

// Reservation is the part of a Budget that the bodies of one request take, until Release. A nil Reservation is
// unlimited.
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

// Release gives everything back. Nothing can be reserved after it; further calls do nothing.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.bytes
	r.bytes = 0
	r.released = true
}
