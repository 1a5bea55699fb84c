package proxy

import (
	"context"
	"time"
)

// freshListTimeout limits the wait for the present endpoint list of a process that takes over with a known one.
const freshListTimeout = 1500 * time.Millisecond

// waitForTakeover waits until a process that starts beside another can serve as well as that one: with an endpoint list, and
// with the present one if discovery answers in time. It reports false if the context ends first.
func (p *Proxy) waitForTakeover(ctx context.Context) bool {
	if p.isOpen() {
		return true
	}
	select {
	case <-p.loop.listed:
	case <-ctx.Done():
		return false
	}
	select {
	case <-p.loop.answered:
	case <-time.After(freshListTimeout):
	case <-ctx.Done():
		return false
	}
	return true
}
