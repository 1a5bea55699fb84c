package proxy

import (
	"context"
	"time"
)

// freshListTimeout limits how long a process that takes over with a cached endpoint list waits for an up-to-date one.
const freshListTimeout = 1500 * time.Millisecond

// waitForTakeover waits until a process that starts while another one is running can serve as well as that one. It needs an
// endpoint list, which is the up-to-date one if discovery answers within freshListTimeout. waitForTakeover returns false if
// the context is canceled first.
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
