package scale

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// MostProcesses is how many processes a run may have at once.
const MostProcesses = 300

const (
	memoryPart      = 2 // a run may have one part in so many of the machine's memory
	memoryLookEvery = 500 * time.Millisecond
)

// LimitError says that a run has passed one of its limits.
type LimitError struct {
	What string // the limit, in words
}

// Error names the limit.
func (e *LimitError) Error() string { return "the run has passed its limit: " + e.What }

// Budget bounds what a run may take of the machine: processes, and the memory of them all. It knows each process of
// the run, so that none is left behind.
type Budget struct {
	mu        sync.Mutex
	processes int
	most      int
	memory    int64 // bytes
	started   map[*Process]bool
}

// NewBudget returns the budget of one run: MostProcesses, and half of the machine's memory.
func NewBudget() *Budget {
	return &Budget{most: MostProcesses, memory: machineMemory() / memoryPart, started: map[*Process]bool{}}
}

// LowerMemory lowers the limit of memory to so many bytes. It can't be raised.
func (b *Budget) LowerMemory(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory = min(b.memory, bytes)
}

// StartProcess takes the place of one process, and fails where the run has as many as it may.
func (b *Budget) StartProcess(context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.processes == b.most {
		return &LimitError{fmt.Sprintf("%d processes at once", b.most)}
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

// Processes tells how many processes the run has now.
func (b *Budget) Processes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.processes
}

func (b *Budget) add(p *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started[p] = true
}

func (b *Budget) remove(p *Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.started, p)
}

func (b *Budget) running() []*Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*Process, 0, len(b.started))
	for p := range b.started {
		list = append(list, p)
	}
	return list
}

// StopAll ends every process of the run that is still there, and returns once they are gone.
func (b *Budget) StopAll() {
	var stops sync.WaitGroup
	for _, p := range b.running() {
		stops.Go(p.Stop)
	}
	stops.Wait()
}

// Memory adds up the resident memory of the tool and of the run's processes, in bytes.
func (b *Budget) Memory() (int64, error) {
	own, err := residentMemory(selfPID)
	if err != nil {
		return 0, err
	}
	total := own
	for _, p := range b.running() {
		resident, err := residentMemory(p.PID())
		if gone(err) { // between the look at the list and this one
			continue
		}
		if err != nil {
			return 0, err
		}
		total += resident
	}
	return total, nil
}

// WatchMemory looks at the memory of the run until the context ends, or returns an error once it is over the limit.
func (b *Budget) WatchMemory(ctx context.Context) error {
	tick := time.NewTicker(memoryLookEvery)
	defer tick.Stop()
	for {
		if err := b.checkMemory(); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *Budget) checkMemory() error {
	total, err := b.Memory()
	if err != nil {
		return fmt.Errorf("look at the memory of the run: %w", err)
	}
	b.mu.Lock()
	most := b.memory
	b.mu.Unlock()
	if total > most {
		return &LimitError{fmt.Sprintf("%d MiB of memory (it has %d MiB)", most>>20, total>>20)}
	}
	return nil
}
