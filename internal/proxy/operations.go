package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"baylock/balancer"
	"baylock/internal/admin"
	"baylock/internal/operatorstate"
)

const (
	// A change at one process reaches the others within this time, well within the grace of a drain.
	stateSyncInterval = 50 * time.Millisecond
	saveLearnedEvery  = 20 // syncs of the state between two saves of what the balancer has learned
)

// Errors of operations that the proxy can't carry out now.
var (
	errStarting     = errors.New("starting")
	errNoEndpoints  = errors.New("no list of backends yet")
	errShuttingDown = errors.New("ending")
	errLoopEnded    = errors.New("the proxy has ended")
	errLoopBusy     = errors.New("the proxy is too busy to say")
	errNotDoneYet   = errors.New("not done yet")
)

// do has the loop call f and waits until it has.
func (l *loop) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.events <- func() { f(); close(done) }:
	case <-l.done:
		return errLoopEnded
	case <-ctx.Done():
		return errLoopBusy
	}
	select {
	case <-done:
		return nil
	case <-l.done:
		return errLoopEnded
	case <-ctx.Done():
		return errNotDoneYet
	}
}

// Ready implements admin.Operations: this process has an endpoint list and open listeners, and doesn't shut down. Lame
// duck doesn't matter, as no new version could take over from a process that is in it.
func (p *Proxy) Ready() (settings string, err error) {
	select {
	case <-p.opened:
	default:
		return "", errStarting
	}
	select {
	case <-p.loop.listed:
	default:
		return "", errNoEndpoints
	}
	if p.front.draining.Load() {
		return "", errShuttingDown
	}
	return p.loop.inForce.Load().String(), nil
}

// Detach implements admin.Operations.
func (p *Proxy) Detach(ctx context.Context, backendID string) error {
	return p.changeBackend(ctx, backendID, func(state *operatorstate.State) { state.Detach(backendID) })
}

// Attach implements admin.Operations.
func (p *Proxy) Attach(ctx context.Context, backendID string) error {
	return p.changeBackend(ctx, backendID, func(state *operatorstate.State) { state.Attach(backendID, time.Now()) })
}

// SetLameDuck implements admin.Operations.
func (p *Proxy) SetLameDuck(ctx context.Context, on bool) error {
	return p.operatorState.Change(
		func(operatorstate.State) error { return nil },
		func(state *operatorstate.State) { state.LameDuck = on },
		p.applyState(ctx))
}

// changeBackend changes what operators have said of one backend and carries it out. The backend has to be detached or
// listed.
func (p *Proxy) changeBackend(ctx context.Context, id string, edit func(*operatorstate.State)) error {
	known := func(state operatorstate.State) error {
		if slices.Contains(state.Detached, id) {
			return nil
		}
		listed := false
		if err := p.loop.do(ctx, func() { listed = p.loop.pool.Contains(id) }); err != nil {
			return err
		}
		if !listed {
			return admin.ErrUnknownBackend
		}
		return nil
	}
	return p.operatorState.Change(known, edit, p.applyState(ctx))
}

// applyState returns the function that carries out what operators have said.
func (p *Proxy) applyState(ctx context.Context) func(operatorstate.State) error {
	return func(state operatorstate.State) error {
		p.front.lameDuck(state.LameDuck)
		return p.loop.do(ctx, func() { p.loop.setDetached(state.Detached) })
	}
}

// saveLearned saves what the balancer has learned, once this process accepts connections.
func (p *Proxy) saveLearned(ctx context.Context) {
	select {
	case <-p.opened:
	default:
		return
	}
	var learned balancer.LearnedState
	err := p.loop.do(ctx, func() { learned = p.loop.bal.ExportState() })
	if err == nil {
		err = p.operatorState.SaveLearned(learned)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Error("learned state is not saved", "error", err)
	}
}

// syncState applies changes of the state by other processes of this proxy, and shares the limits with them while they
// live. It returns when the context ends.
func (p *Proxy) syncState(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	alone := true
	for syncs := 0; ; syncs++ {
		if syncs%saveLearnedEvery == 0 && !p.front.draining.Load() {
			p.saveLearned(ctx)
		}
		if now := p.operatorState.Alone(); now != alone {
			alone = now
			p.setAlone(alone)
		}
		p.front.succeeded.Store(p.operatorState.AcceptingPeers() > 0)
		if err := p.operatorState.Sync(p.applyState(ctx)); err != nil && ctx.Err() == nil {
			p.log.Error("shared state", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
