package slopes

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// appliedTimeout is the time for the proxy to apply a published change.
const appliedTimeout = 10 * time.Second

// watermark is the highest number of a change that the proxy has applied.
type watermark struct {
	number  atomic.Int64
	changed chan struct{} // has an element after each rise
}

func newWatermark() *watermark { return &watermark{changed: make(chan struct{}, 1)} }

// raise raises the watermark to a number, if that is higher.
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

// wait waits until the watermark reaches a number. One goroutine may wait at a time.
func (w *watermark) wait(ctx context.Context, number int64) error {
	late := time.NewTimer(appliedTimeout)
	defer late.Stop()
	for w.number.Load() < number {
		select {
		case <-w.changed:
		case <-late.C:
			return fmt.Errorf("the proxy did not apply change %d within %v", number, appliedTimeout)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
