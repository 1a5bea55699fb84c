// Package proxy is the real proxy round the decision module: clients on one side, backends and discovery on
// the other. One goroutine, the loop, owns the module; the rest carry out what it decides and report back.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/operatorstate"
	"baylock/internal/settings"
	"baylock/internal/socket"
	"baylock/internal/timing"
	"baylock/internal/upstream"
)

const (
	ownSockets  = 32 // descriptors that are neither a client's nor a backend's, generously
	leastEach   = 8  // connections on either side, at least
	requestPart = 3  // clients hold this part of the descriptors at most for requests

	firstListWait = 1500 * time.Millisecond // a process that takes over knows a list already, and asks for the present one

	memoryPart = 0.6 // of the limit: the runtime collects harder from there on

	boundAfter  = 200 * time.Millisecond // new connections surely come for this long after SIGTERM
	acceptAfter = 550 * time.Millisecond // and may still come for this long
	killAfter   = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway  = 500 * time.Millisecond // and somewhat more
	servePart   = 0.7                    // of the time between: requests are taken; the rest is for their answers
	takenLate   = 600 * time.Millisecond // what comes later than 0.7 s after SIGTERM and is cut off by SIGKILL is lost
	drainStep   = 20 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	Name      string
	Listen    string
	Console   string // where operators call; none if empty
	Discovery string
	TempDir   string // what all processes of this proxy share; nothing is if empty
	Seed      uint64
	Sockets   int             // descriptors that the process may hold
	MemoryMB  float64         // that it may hold; 0 if it is not told
	Cores     float64         // that it may use; 0 if it is not told
	Version   string          // of the settings and limits, as operators are shown it
	Known     *discovery.List // the list as last known; may be nil
	Site      *settings.Site
	Log       *slog.Logger
}

// Proxy is one proxy with its listener open.
type Proxy struct {
	cfg           Config
	loop          *loop
	front         *frontend
	console       *adminServer // nil if none is wanted
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
func New(cfg Config) (*Proxy, error) {
	zones := discovery.NewZones(cfg.Site.Zones)
	first, err := newSnapshot(cfg, zones)
	if err != nil {
		return nil, err
	}
	bal, err := balancer.New(first.logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	forClients, forBackends := divide(cfg.Sockets)
	store := openOperatorState(cfg)
	operators := store.Current()
	l := newLoop(bal, timing.NewClock(), upstream.NewPool(cfg.Site.DialTimeout, cfg.Site.IdleClose, forBackends),
		zones, cfg.Log)
	l.inForce.Store(first)
	p := &Proxy{cfg: cfg, loop: l, operatorState: store, renews: make(chan string), opened: make(chan struct{}),
		front: newFrontend(l, forClients, cfg.Log)}
	if cfg.Console != "" {
		p.console = newAdminServer(p, cfg.Log)
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
	p.limit(alone)
	if alone {
		if err := p.open(); err != nil {
			return nil, err
		}
	} else if learned, recent, err := store.LoadLearned(); err != nil {
		cfg.Log.Error("learned state is not taken", "error", err)
	} else if recent {
		bal.ImportState(learned)
	}
	return p, nil
}

// openOperatorState returns the store that this proxy's processes share, or one in memory where there is no folder for it,
// no operator who could say anything, or it can't be opened.
func openOperatorState(cfg Config) *operatorstate.Store {
	if cfg.TempDir == "" || cfg.Console == "" {
		return operatorstate.NewInMemory(cfg.Log)
	}
	store, err := operatorstate.Open(cfg.TempDir, cfg.Name, cfg.Log)
	if err != nil {
		cfg.Log.Error("operator state is not stored", "error", err)
		return operatorstate.NewInMemory(cfg.Log)
	}
	return store
}

// divide gives clients and backends their parts of the descriptors. Each open request has at most one attempt out,
// and a third more connections to backends may be kept for the next. What is left is the clients': their open
// requests, and those that are silent or idle.
func divide(sockets int) (forClients, forBackends int) {
	forBackends = sockets / requestPart * 4 / 3
	return sockets - ownSockets - forBackends, forBackends
}

// open opens the listeners. Any process of this proxy may listen at the clients' address; the newest gets the
// connections.
func (p *Proxy) open() error {
	before := p.operatorState.AcceptingPeers()
	listener, err := socket.ListenShared(p.cfg.Listen, before, p.cfg.Log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.front.clients.Listener = listener
	if p.console != nil {
		if p.console.connections.Listener, err = net.Listen("tcp", p.cfg.Console); err != nil {
			listener.Close()
			return fmt.Errorf("listen for operators: %w", err)
		}
	}
	if err := p.operatorState.StartAccepting(); err != nil {
		return err
	}
	close(p.opened)
	p.cfg.Log.Info("open", "address", p.cfg.Listen, "console", p.cfg.Console, "others", before)
	return nil
}

// Addr is where clients connect.
func (p *Proxy) Addr() string { return p.front.clients.Addr().String() }

// ConsoleAddr is where operators call.
func (p *Proxy) ConsoleAddr() string { return p.console.connections.Addr().String() }

// Run serves until the context ends, then finishes what it has taken.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.operatorState.Close()
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer p.front.lameDuck(false)
	defer parts.Wait()
	defer stop()
	p.front.lameDuck(p.operatorState.Current().LameDuck)
	p.cfg.Log.Info("settings in force", "version", p.loop.inForce.Load().version, "discovery", p.cfg.Discovery)
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
		defer p.console.close()
		parts.Go(func() {
			if err := p.console.serve(); err != nil {
				p.cfg.Log.Error("no calls are taken any more", "error", err)
			}
		})
	}
	var failed error
	select {
	case failed = <-served: // what has been taken is answered all the same
		p.cfg.Log.Error("no connections are taken any more", "error", failed)
	case <-ctx.Done():
	}
	told := time.Now()
	p.front.succeeded.Store(p.operatorState.AcceptingPeers() > 0)
	p.front.terminate()
	p.operatorState.StopAccepting()
	window := min(p.loop.inForce.Load().longestAt(told), killAfter) + killLeeway
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
		client := discovery.NewClient(discovery.Options{Address: addr, Known: known, Ask: p.cfg.Site.Balancer.SubscribeRequired,
			AwaitRequest: subscribe, Updates: p.loop.lists, Requests: p.loop.asked, Log: p.cfg.Log})
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
