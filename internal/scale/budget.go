package scale

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// MaxProcesses is the number of processes that a run may have at once.
const MaxProcesses = 300

const (
	memoryDivisor       = 2 // a run may use the machine's memory divided by this
	memoryCheckInterval = 500 * time.Millisecond
)

// LimitError reports that a run has exceeded one of its limits.
type LimitError struct {
	Limit string // description with the limit's value, such as "300 processes at once"
}

// Error names the limit.
func (e *LimitError) Error() string { return "the run has exceeded its limit: " + e.Limit }

// Budget limits the number of processes of a run and the total memory of the tool and these processes. It keeps track
// of each process, so that none outlives the run.
type Budget struct {
	mu           sync.Mutex // guards all fields below
	processes    int
	maxProcesses int
	maxMemory    int64             // in bytes
	started      map[*Process]bool // processes that have started and not ended
}

// NewBudget returns the budget of one run: at most MaxProcesses processes and half of the machine's memory.
func NewBudget() *Budget {
	return &Budget{maxProcesses: MaxProcesses, maxMemory: machineMemory() / memoryDivisor, started: map[*Process]bool{}}
}

// LowerMemoryLimit lowers the memory limit to the given number of bytes. It has no effect if the limit is already
// lower.
func (b *Budget) LowerMemoryLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxMemory = min(b.maxMemory, bytes)
}

// AcquireProcess reserves one process of the budget. It returns a *LimitError if none is left.
func (b *Budget) AcquireProcess(context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.processes == b.maxProcesses {
		return &LimitError{fmt.Sprintf("%d processes at once", b.maxProcesses)}
	}
	b.processes++
	return nil
}

// ReleaseProcess returns one process to the budget.
func (b *Budget) ReleaseProcess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes--
}

// Processes returns the number of processes that are reserved now.
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

// StopAll stops every process of the run, and returns once they have ended.
func (b *Budget) StopAll() {
	var stops sync.WaitGroup
	for _, p := range b.running() {
		stops.Go(p.Stop)
	}
	stops.Wait()
}

// Memory returns the resident memory of the tool and of the run's processes together, in bytes.
func (b *Budget) Memory() (int64, error) {
	own, err := residentMemory(selfPID)
	if err != nil {
		return 0, err
	}
	total := own
	for _, p := range b.running() {
		resident, err := residentMemory(p.PID())
		if isProcessGone(err) { // it has ended since the list was made
			continue
		}
		if err != nil {
			return 0, err
		}
		total += resident
	}
	return total, nil
}

// WatchMemory checks the memory of the run periodically until the context ends. It returns a *LimitError as soon as the
// memory exceeds the limit.
func (b *Budget) WatchMemory(ctx context.Context) error {
	tick := time.NewTicker(memoryCheckInterval)
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
		return fmt.Errorf("measure the memory of the run: %w", err)
	}
	b.mu.Lock()
	limit := b.maxMemory
	b.mu.Unlock()
	if total > limit {
		return &LimitError{fmt.Sprintf("%d MiB of memory (it uses %d MiB)", limit>>20, total>>20)}
	}
	return nil
}
