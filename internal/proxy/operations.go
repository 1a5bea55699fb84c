package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"baylock/balancer"
	"baylock/internal/operatorstate"
)

const (
	// What one process is told reaches the others within this time, well within the grace of a drain.
	stateSyncInterval = 50 * time.Millisecond
	saveLearnedEvery  = 20 // syncs of the state between two saves of what the balancer has learned
)

// do has the loop carry out f and waits until it has.
func (l *loop) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.events <- func() { f(); close(done) }:
	case <-l.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return errors.New("the proxy is too busy to say")
	}
	select {
	case <-done:
		return nil
	case <-l.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return errors.New("not done yet")
	}
}

// ready tells whether this process serves: it has an endpoint list, the operators' state, and open listeners. Lame duck
// doesn't matter here, as no new version could take over from a process that is in it. The answer shows the settings in
// force.
func (p *Proxy) ready(context.Context, string) (string, error) {
	select {
	case <-p.opened:
	default:
		return "", no{http.StatusServiceUnavailable, "starting"}
	}
	select {
	case <-p.loop.listed:
	default:
		return "", no{http.StatusServiceUnavailable, "no list of backends yet"}
	}
	if p.front.draining.Load() {
		return "", no{http.StatusServiceUnavailable, "ending"}
	}
	return yes + " " + p.loop.inForce.Load().word(), nil
}

func (p *Proxy) detach(ctx context.Context, id string) (string, error) {
	return yes, p.changeBackend(ctx, id, func(state *operatorstate.State) { state.Detach(id) })
}

func (p *Proxy) attach(ctx context.Context, id string) (string, error) {
	return yes, p.changeBackend(ctx, id, func(state *operatorstate.State) { state.Attach(id, time.Now()) })
}

func (p *Proxy) lameDuck(on bool) func(context.Context, string) (string, error) {
	return func(ctx context.Context, _ string) (string, error) {
		return yes, p.operatorState.Change(
			func(operatorstate.State) error { return nil },
			func(state *operatorstate.State) { state.LameDuck = on },
			p.applyState(ctx))
	}
}

// changeBackend changes what operators have said of one backend and carries it out. The backend has to be detached or
// listed.
func (p *Proxy) changeBackend(ctx context.Context, id string, edit func(*operatorstate.State)) error {
	known := func(state operatorstate.State) error {
		if slices.Contains(state.Detached, id) {
			return nil
		}
		listed := false
		if err := p.loop.do(ctx, func() { listed = p.loop.pool.known(id) }); err != nil {
			return err
		}
		if !listed {
			return no{http.StatusNotFound, "no backend has this id"}
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
		p.cfg.Log.Error("learned state is not saved", "error", err)
	}
}

// syncState follows what other processes of this proxy are told, and shares the limits with them while they live. It
// returns when the context ends.
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
			p.limit(alone)
		}
		p.front.succeeded.Store(p.operatorState.AcceptingPeers() > 0)
		if err := p.operatorState.Sync(p.applyState(ctx)); err != nil && ctx.Err() == nil {
			p.cfg.Log.Error("shared state", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
