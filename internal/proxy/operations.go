package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"baylock/internal/admin"
	"baylock/internal/operatorstate"
)

const (
	// What one process is told reaches the others within this time, well within the grace of a drain.
	stateSyncInterval = 50 * time.Millisecond
	saveLearnedEvery  = 20 // syncs of the state between two saves of what the balancer has learned
)

// Errors of operations that the proxy can't carry out now.
var (
	errStarting     = errors.New("starting")
	errNoEndpoints  = errors.New("no list of backends yet")
	errShuttingDown = errors.New("ending")
)

// Ready implements admin.Operations: this process has an endpoint list and open listeners, and doesn't shut down. Lame duck
// doesn't matter, as no new version could take over from a process that is in it.
func (p *Proxy) Ready() (settings string, err error) {
	switch {
	case !p.isOpen():
		return "", errStarting
	case !p.loop.Ready():
		return "", errNoEndpoints
	case p.server.State().Draining:
		return "", errShuttingDown
	}
	return p.loop.settings.Load().String(), nil
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

// changeBackend edits the operators' state of one backend and applies it. The backend has to be detached or listed.
func (p *Proxy) changeBackend(ctx context.Context, id string, edit func(*operatorstate.State)) error {
	known := func(state operatorstate.State) error {
		if slices.Contains(state.Detached, id) {
			return nil
		}
		query := &backendQueried{backendID: id}
		if err := p.loop.call(ctx, query); err != nil {
			return err
		}
		if !query.listed {
			return admin.ErrUnknownBackend
		}
		return nil
	}
	return p.operatorState.Change(known, edit, p.applyState(ctx))
}

// applyState returns the function that applies the operators' state to this process.
func (p *Proxy) applyState(ctx context.Context) func(operatorstate.State) error {
	return func(state operatorstate.State) error {
		p.server.SetLameDuck(state.LameDuck)
		return p.loop.call(ctx, detachedChanged{state.Detached})
	}
}

// saveLearned saves what the balancer has learned, once this process accepts connections.
func (p *Proxy) saveLearned(ctx context.Context) {
	if !p.isOpen() {
		return
	}
	query := &learnedStateQueried{}
	err := p.loop.call(ctx, query)
	if err == nil {
		err = p.operatorState.SaveLearned(query.learned)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Error("learned state is not saved", "error", err)
	}
}

// syncState follows what other processes of this proxy are told, and shares the limits with them while they live. It
// returns when the context ends.
func (p *Proxy) syncState(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	alone := true
	for syncs := 0; ; syncs++ {
		if syncs%saveLearnedEvery == 0 && !p.server.State().Draining {
			p.saveLearned(ctx)
		}
		if now := p.operatorState.Alone(); now != alone {
			alone = now
			p.limits.setAlone(alone)
		}
		p.server.SetTakenOver(p.operatorState.AcceptingPeers() > 0)
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
