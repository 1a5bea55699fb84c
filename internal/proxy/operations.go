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
	// A change that operators make through one process reaches the other processes within this interval, which is well
	// below the drain grace period.
	stateSyncInterval = 50 * time.Millisecond
	saveEvery         = 20 // the state for another process is saved at one in this many syncs of the operator state
)

// Errors that Ready returns.
var (
	errStarting     = errors.New("starting")
	errNoEndpoints  = errors.New("no list of backends yet")
	errShuttingDown = errors.New("ending")
)

// Ready implements admin.Operations. The process is ready if its listeners are open, it has an endpoint list and it isn't
// shutting down. Lame duck doesn't make it unready, since otherwise no new version could take over from a process in lame
// duck.
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

// changeBackend edits the operator state of one backend and applies it. The backend must be detached already or be on the
// endpoint list.
func (p *Proxy) changeBackend(ctx context.Context, id string, edit func(*operatorstate.State)) error {
	check := func(state operatorstate.State) error {
		if slices.Contains(state.Detached, id) {
			return nil
		}
		query := &backendQueried{backendID: id}
		if err := p.loop.postAndWait(ctx, query); err != nil {
			return err
		}
		if !query.listed {
			return admin.ErrUnknownBackend
		}
		return nil
	}
	return p.operatorState.Change(check, edit, p.applyState(ctx))
}

// applyState returns a function that applies the operator state to this process.
func (p *Proxy) applyState(ctx context.Context) func(operatorstate.State) error {
	return func(state operatorstate.State) error {
		p.server.SetLameDuck(state.LameDuck)
		return p.loop.postAndWait(ctx, detachedChanged{state.Detached})
	}
}

// saveLearned saves the balancer's learned state.
func (p *Proxy) saveLearned(ctx context.Context) {
	query := &learnedStateQueried{}
	err := p.loop.postAndWait(ctx, query)
	if err == nil {
		err = p.operatorState.SaveLearned(query.learned)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Error("cannot save the learned state", "error", err)
	}
}

// saveEndpoints saves the endpoint list in use for a process that takes over.
func (p *Proxy) saveEndpoints(ctx context.Context) {
	query := &endpointsQueried{}
	err := p.loop.postAndWait(ctx, query)
	if err == nil {
		err = p.operatorState.SaveEndpoints(query.list)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Error("cannot save the endpoint list", "error", err)
	}
}

// syncState applies operators' changes that were made through other processes of this proxy, and halves the limits of this
// process while another one runs. It also saves the learned state at intervals and, while another process runs, the endpoint
// list. It returns when the context is canceled.
func (p *Proxy) syncState(ctx context.Context) {
	ticker := time.NewTicker(stateSyncInterval)
	defer ticker.Stop()
	alone, saved := true, int64(0)
	for syncs := 0; ; syncs++ {
		serving := p.isOpen() && !p.server.State().Draining
		if serving && syncs%saveEvery == 0 {
			p.saveLearned(ctx)
		}
		wasAlone := alone
		if now := p.operatorState.Alone(); now != alone {
			alone, saved = now, 0
			p.limits.setAlone(alone)
		}
		if !alone || !wasAlone {
			p.loop.post(peersChecked{})
		}
		updates := p.loop.listUpdates.Load()
		if serving && !alone && (updates != saved || syncs%saveEvery == 0) {
			p.saveEndpoints(ctx)
			saved = updates
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
