package proxy

import (
	"context"
	"time"
)

// freshListTimeout limits how long a process that takes over with a cached endpoint list waits for an up-to-date one.
const freshListTimeout = 1500 * time.Millisecond

// waitForTakeover waits until this process can serve as well as the running process that it takes over from. This process
// needs an endpoint list for that, which is the up-to-date one if discovery answers within freshListTimeout.
// waitForTakeover returns true at once if the listeners are open already, and false if the context is canceled first.
func (p *Proxy) waitForTakeover(ctx context.Context) bool {
	if p.isOpen() {
		return true
	}
	select {
	case <-p.loop.endpointListReady:
	case <-ctx.Done():
		return false
	}
	select {
	case <-p.loop.discoveryAnswered:
	case <-time.After(freshListTimeout):
	case <-ctx.Done():
		return false
	}
	return true
}
