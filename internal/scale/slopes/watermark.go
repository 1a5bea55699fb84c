package slopes

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// appliedTimeout is the maximum time that the proxy may take to apply a published change.
const appliedTimeout = 10 * time.Second

// watermark tracks the number of the latest change up to which the proxy has applied all changes.
type watermark struct {
	number  atomic.Int64
	changed chan struct{} // receives an element after each increase; buffers one
}

func newWatermark() *watermark { return &watermark{changed: make(chan struct{}, 1)} }

// raise sets the watermark to a number if that is higher than the current one.
func (w *watermark) raise(number int64) {
	for {
		old := w.number.Load()
		if number <= old {
			return
		}
		if w.number.CompareAndSwap(old, number) {
			break
		}
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// wait waits until the watermark reaches a number. Only one goroutine may wait at a time.
func (w *watermark) wait(ctx context.Context, number int64) error {
	timeout := time.NewTimer(appliedTimeout)
	defer timeout.Stop()
	for w.number.Load() < number {
		select {
		case <-w.changed:
		case <-timeout.C:
			return fmt.Errorf("the proxy did not apply change %d within %v", number, appliedTimeout)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
