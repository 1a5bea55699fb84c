package scale

import (
	"context"
	"fmt"
	"sync"
)

// Budget bounds what a run may take of the machine: processes, and the memory of them all.
type Budget struct {
	mu        sync.Mutex
	processes int
	most      int
}

// MostProcesses is how many processes a run may have at once.
const MostProcesses = 300

// NewBudget returns the budget of one run.
func NewBudget() *Budget { return &Budget{most: MostProcesses} }

// StartProcess takes the place of one process, and fails where the run has as many as it may.
func (b *Budget) StartProcess(context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.processes == b.most {
		return fmt.Errorf("this run may have %d processes at once", b.most)
	}
	b.processes++
	return nil
}

// EndProcess gives the place back.
func (b *Budget) EndProcess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes--
}
