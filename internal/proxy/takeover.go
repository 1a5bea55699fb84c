package proxy

import (
	"context"
	"time"
)

// freshListTimeout limits how long a process that takes over waits for discovery to send an up-to-date endpoint list.
const freshListTimeout = 1500 * time.Millisecond

// waitForTakeover waits until this process can serve as well as the running process that it takes over from. This process
// needs an endpoint list for that. It is the one that discovery sends, or if discovery does not answer within
// freshListTimeout, the newer one of the cached list and the list of the running process. waitForTakeover returns true at
// once if the listeners are open already, and false if the context is canceled first.
func (p *Proxy) waitForTakeover(ctx context.Context) bool {
	if p.isOpen() {
		return true
	}
	select {
	case <-p.loop.discoveryAnswered:
	case <-time.After(freshListTimeout):
		p.takeOverEndpoints(ctx)
	case <-ctx.Done():
		return false
	}
	select {
	case <-p.loop.endpointListReady:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeOverEndpoints applies the endpoint list of the running process, which may have changed since this process started.
func (p *Proxy) takeOverEndpoints(ctx context.Context) {
	list, err := p.operatorState.LoadEndpoints()
	if err == nil && list != nil {
		err = p.loop.postAndWait(ctx, endpointsHandedOver{list})
	}
	if err != nil && ctx.Err() == nil {
		p.log.Error("cannot take over the endpoint list", "error", err)
	}
}
