package proxy

import (
	"context"
	"sync"

	"baylock/internal/discovery"
)

// setDiscovery passes the address of discovery from a new configuration to watchEndpoints.
func (p *Proxy) setDiscovery(address string) {
	select {
	case p.discoveryAddresses <- address:
	case <-p.loop.done:
	}
}

// watchEndpoints watches the endpoint list at the current address of discovery until the context is canceled. When the
// address changes, the new watch starts with the complete list, since list versions of different addresses can't be
// compared. It starts only after the old watch has ended, so that no update from the old address can follow one from the
// new address. The old list stays in use until the new address has answered.
func (p *Proxy) watchEndpoints(ctx context.Context) {
	options := discovery.Options{
		Address:  p.config.Discovery,
		Known:    discovery.NoVersion,
		Poll:     p.config.Site.Balancer.SubscribeRequired,
		Updates:  p.loop.updates,
		Requests: p.loop.pollRequests,
		Log:      p.log,
	}
	if known := p.config.Known; known != nil {
		options.Known = known.Index
		options.AwaitRequest = options.Poll // without any list the balancer can't decide when to poll
	}
	for ctx.Err() == nil {
		next := p.watchAddress(ctx, options)
		options.Address, options.Known, options.AwaitRequest = next, discovery.NoVersion, false
	}
}

// watchAddress watches the endpoint list at one address until a different address is set or the context is canceled. It
// returns the address to watch next.
func (p *Proxy) watchAddress(ctx context.Context, options discovery.Options) (next string) {
	watchContext, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer stop()
	watch.Go(func() { discovery.NewClient(options).Run(watchContext) })
	for {
		select {
		case address := <-p.discoveryAddresses:
			if address != options.Address {
				return address
			}
		case <-ctx.Done():
			return options.Address
		}
	}
}
