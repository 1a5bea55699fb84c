package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	// SIGKILL follows SIGTERM after the longest request deadline or killDelay, whichever is shorter, plus killLeeway.
	killDelay  = 3 * time.Second
	killLeeway = 500 * time.Millisecond

	// servingFraction is the fraction of the time from SIGTERM to SIGKILL for which new requests are accepted. The rest is for
	// their responses.
	servingFraction = 0.7

	// streamingWindow limits streamed responses: only requests that were fully received within this time after SIGTERM get
	// one. SIGKILL might cut off a later one, and its request would count as lost.
	streamingWindow = 600 * time.Millisecond
)

// Run serves until the context is canceled, and then until all submitted requests have their responses. It returns an error
// if the listeners can't be opened or fail.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.operatorState.Close()
	tasksContext, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer p.server.SetLameDuck(false)
	defer tasks.Wait()
	defer stop()
	p.server.SetLameDuck(p.operatorState.Current().LameDuck)
	p.log.Info("settings in force", "version", p.loop.settings.Load().Version, "discovery", p.config.Discovery)
	tasks.Go(func() { p.loop.run(tasksContext) })
	tasks.Go(func() { p.watchEndpoints(tasksContext) })
	if p.operatorState.Shared() {
		tasks.Go(func() { p.syncState(tasksContext) })
	}
	if !p.waitForTakeover(ctx) {
		return nil
	}
	if !p.isOpen() {
		if err := p.open(); err != nil {
			return err
		}
	}
	if p.console != nil {
		defer p.console.Close()
		tasks.Go(p.serveConsole)
	}
	served := make(chan error, 1)
	tasks.Go(func() { served <- p.server.Serve() })
	var failure error
	select {
	case failure = <-served: // requests submitted before still get their responses
		p.log.Error("cannot accept more connections", "error", failure)
	case <-ctx.Done():
	}
	p.shutDown(time.Now())
	return failure
}

func (p *Proxy) serveConsole() {
	if err := p.console.Serve(); err != nil {
		p.log.Error("console failed", "error", err)
	}
}

// shutDown ends the service to clients before SIGKILL arrives. begin is when SIGTERM arrived or the listener failed.
func (p *Proxy) shutDown(begin time.Time) {
	takenOver := p.operatorState.AcceptingPeers() > 0
	p.server.SetTakenOver(takenOver)
	p.server.BeginShutdown()
	p.operatorState.StopAccepting()
	window := min(p.loop.settings.Load().LongestDeadline(begin), killDelay) + killLeeway
	cutoff := begin.Add(window)
	p.loop.post(shutdownBegun{
		cutoff:          p.loop.clock.At(cutoff),
		streamingCutoff: p.loop.clock.At(begin.Add(streamingWindow)),
	})
	if takenOver {
		p.server.HandOver(cutoff)
		return
	}
	p.server.Drain(begin.Add(time.Duration(servingFraction*float64(window))), cutoff)
}
