package proxy

import (
	"context"
	"sync"

	"baylock/internal/discovery"
)

// setDiscovery gives the watch the address of discovery that a new configuration names.
func (p *Proxy) setDiscovery(address string) {
	select {
	case p.discoveryAddresses <- address:
	case <-p.loop.done:
	}
}

// watchEndpoints watches the endpoint list at the present address of discovery until the context ends. The watch of a new
// address begins with the complete list, since the versions of two addresses do not compare, and only when the old one has
// ended, so that no update of the old follows the new. Until the new one has answered the old list stays in use.
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
		options.AwaitRequest = options.Poll // with no list at all the balancer does not know when to poll
	}
	for ctx.Err() == nil {
		next := p.watchAddress(ctx, options)
		options.Address, options.Known, options.AwaitRequest = next, discovery.NoVersion, false
	}
}

// watchAddress watches at one address, until another one is set or the context ends. It returns the new address.
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
