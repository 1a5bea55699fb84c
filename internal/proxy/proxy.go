// Package proxy is the real proxy round the decision module: clients on one side, backends and discovery on
// the other. One goroutine, the loop, owns the module; the rest carry out what it decides and report back.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/admin"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/operatorstate"
	"baylock/internal/socket"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

const (
	firstListWait = 1500 * time.Millisecond // a process that takes over knows a list already, and asks for the present one

	boundAfter  = 200 * time.Millisecond // new connections surely come for this long after SIGTERM
	acceptAfter = 550 * time.Millisecond // and may still come for this long
	killAfter   = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway  = 500 * time.Millisecond // and somewhat more
	servePart   = 0.7                    // of the time between: requests are taken; the rest is for their answers
	takenLate   = 600 * time.Millisecond // what comes later than 0.7 s after SIGTERM and is cut off by SIGKILL is lost
	drainStep   = 20 * time.Millisecond
)

// Proxy is one proxy with its listener open.
type Proxy struct {
	log           *slog.Logger
	cfg           config.Config
	loop          *loop
	front         *frontend
	console       *admin.Server // nil if none is wanted
	operatorState *operatorstate.Store
	opened        chan struct{} // closed when all listeners are open
	renews        chan string   // addresses of discovery that new configurations name

	reloading sync.Mutex // held by Reload

	limits        sync.Mutex // held while limits are carried out
	alone         bool       // no other process of this proxy lives
	memoryLimited bool       // the runtime was told a limit
}

// New opens the listeners, unless another process of this proxy is at work: then Run does when it can serve. Clients
// are served from Run on.
func New(cfg config.Config, log *slog.Logger) (*Proxy, error) {
	zones := discovery.NewZones(cfg.Site.Zones)
	first, err := config.NewSnapshot(cfg, zones, nil)
	if err != nil {
		return nil, err
	}
	bal, err := balancer.New(first.Balancer, cfg.Seed)
	if err != nil {
		return nil, err
	}
	clients, backends := cfg.Limits.Connections()
	store := openOperatorState(cfg, log)
	operators := store.Current()
	l := newLoop(bal, timing.NewClock(), upstream.NewPool(cfg.Site.DialTimeout, cfg.Site.IdleClose, backends),
		zones, log)
	l.inForce.Store(first)
	p := &Proxy{log: log, cfg: cfg, loop: l, operatorState: store, renews: make(chan string), opened: make(chan struct{}),
		front: newFrontend(l, clients, log)}
	if cfg.Console != "" {
		p.console = admin.NewServer(p, log)
	}
	l.setDetached(operators.Detached)
	if cfg.Known != nil {
		l.apply(balancer.CachedUpdate, cfg.Known)
	}
	for id, at := range operators.AttachedAt {
		bal.Detach(id)
		bal.Attach(at, id)
	}
	alone := store.Alone()
	p.setAlone(alone)
	if alone {
		if err := p.open(); err != nil {
			return nil, err
		}
	} else if learned, recent, err := store.LoadLearned(); err != nil {
		log.Error("learned state is not taken", "error", err)
	} else if recent {
		bal.ImportState(learned)
	}
	return p, nil
}

// openOperatorState returns the store that this proxy's processes share, or one in memory where there is no folder for it,
// no operator who could say anything, or it can't be opened.
func openOperatorState(cfg config.Config, log *slog.Logger) *operatorstate.Store {
	if cfg.TempDir == "" || cfg.Console == "" {
		return operatorstate.NewInMemory(log)
	}
	store, err := operatorstate.Open(cfg.TempDir, cfg.Name, log)
	if err != nil {
		log.Error("operator state is not stored", "error", err)
		return operatorstate.NewInMemory(log)
	}
	return store
}

// open opens the listeners. Any process of this proxy may listen at the clients' address; the newest gets the
// connections.
func (p *Proxy) open() error {
	before := p.operatorState.AcceptingPeers()
	listener, err := socket.ListenShared(p.cfg.Listen, before, p.log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.front.clients.Listener = listener
	if p.console != nil {
		if err := p.console.Listen(p.cfg.Console); err != nil {
			listener.Close()
			return err
		}
	}
	if err := p.operatorState.StartAccepting(); err != nil {
		return err
	}
	close(p.opened)
	p.log.Info("open", "address", p.cfg.Listen, "console", p.cfg.Console, "others", before)
	return nil
}

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.front.clients.Addr().String() }

// ConsoleAddr is where operators call.
func (p *Proxy) ConsoleAddr() string { return p.console.Addr().String() }

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.operatorState.Close()
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer p.front.lameDuck(false)
	defer parts.Wait()
	defer stop()
	p.front.lameDuck(p.operatorState.Current().LameDuck)
	p.log.Info("settings in force", "version", p.loop.inForce.Load().Version, "discovery", p.cfg.Discovery)
	parts.Go(func() { p.loop.run(inner) })
	parts.Go(func() { p.watch(inner) })
	if p.operatorState.Shared() {
		parts.Go(func() { p.syncState(inner) })
	}
	if !p.takeOver(ctx) {
		return nil
	}
	select {
	case <-p.opened:
	default:
		if err := p.open(); err != nil {
			return err
		}
	}
	served := make(chan error, 1)
	parts.Go(func() { served <- p.front.serve() })
	if p.console != nil {
		defer p.console.Close()
		parts.Go(func() {
			if err := p.console.Serve(); err != nil {
				p.log.Error("no calls are taken any more", "error", err)
			}
		})
	}
	var failed error
	select {
	case failed = <-served: // what has been taken is answered all the same
		p.log.Error("no connections are taken any more", "error", failed)
	case <-ctx.Done():
	}
	told := time.Now()
	p.front.succeeded.Store(p.operatorState.AcceptingPeers() > 0)
	p.front.terminate()
	p.operatorState.StopAccepting()
	window := min(p.loop.inForce.Load().LongestDeadline(told), killAfter) + killLeeway
	cutoff := told.Add(window)
	lastCall := balancer.Microseconds(0)
	if p.front.succeeded.Load() {
		lastCall = p.loop.clock.At(told.Add(takenLate))
	}
	p.loop.post(func() { p.loop.hurry(p.loop.clock.At(cutoff), lastCall) })
	if p.front.succeeded.Load() {
		p.front.handOver(cutoff)
		return failed
	}
	p.front.drain(told.Add(time.Duration(servePart*float64(window))), cutoff)
	return failed
}

// takeOver waits until a process that starts beside another can serve as well as that one: with a list, and if
// discovery is up with the present one. It returns false if the context ends first.
func (p *Proxy) takeOver(ctx context.Context) bool {
	select {
	case <-p.opened:
		return true
	default:
	}
	select {
	case <-p.loop.listed:
	case <-ctx.Done():
		return false
	}
	select {
	case <-p.loop.told:
	case <-time.After(firstListWait):
	case <-ctx.Done():
		return false
	}
	return true
}

// renew tells the watch the address of discovery that a new configuration names.
func (p *Proxy) renew(address string) {
	select {
	case p.renews <- address:
	case <-p.loop.done:
	}
}

// watch keeps a watch on the list at the address named last. A new one begins with the whole list, since the
// versions of two addresses do not compare, and only when the old one has ended, so that nothing of the old
// follows the new. Until the new one has answered the old list stands.
func (p *Proxy) watch(ctx context.Context) {
	subscribe := p.cfg.Site.Balancer.SubscribeRequired && p.cfg.Known != nil // with no list at all nobody says when to ask
	known := discovery.NoVersion
	if p.cfg.Known != nil {
		known = p.cfg.Known.Index
	}
	for addr := p.cfg.Discovery; ctx.Err() == nil; known, subscribe = discovery.NoVersion, false {
		one, stop := context.WithCancel(ctx)
		client := discovery.NewClient(discovery.Options{Address: addr, Known: known, Poll: p.cfg.Site.Balancer.SubscribeRequired,
			AwaitRequest: subscribe, Updates: p.loop.lists, Requests: p.loop.asked, Log: p.log})
		var part sync.WaitGroup
		part.Go(func() { client.Run(one) })
		addr = p.renewed(ctx, addr)
		stop()
		part.Wait()
	}
}

// renewed waits for another address than the present one, or the end.
func (p *Proxy) renewed(ctx context.Context, present string) string {
	for {
		select {
		case addr := <-p.renews:
			if addr != present {
				return addr
			}
		case <-ctx.Done():
			return present
		}
	}
}
