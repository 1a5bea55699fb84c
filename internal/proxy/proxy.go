// Package proxy connects the components of a proxy. Its event loop owns the balancer. It receives client requests from
// package downstream, endpoint list updates from package discovery, and changes to the settings and the operator state,
// and carries out the balancer's decisions through package upstream.
package proxy

import (
	"fmt"
	"log/slog"
	"sync"

	"baylock/balancer"
	"baylock/internal/admin"
	"baylock/internal/clientconn"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/downstream"
	"baylock/internal/message"
	"baylock/internal/operatorstate"
	"baylock/internal/socket"
	"baylock/internal/upstream"
)

// Proxy is one process of a proxy. Several processes of the same proxy may run at once, for a hand-over.
type Proxy struct {
	log           *slog.Logger
	config        config.Config
	loop          *eventLoop
	clients       *clientconn.Listener
	limits        *resourceLimits
	server        *downstream.Server
	console       *admin.Server // nil without a console
	operatorState *operatorstate.Store

	opened             chan struct{} // closed when all listeners are open
	discoveryAddresses chan string   // passes the address of discovery from Reload to watchEndpoints

	reloading sync.Mutex // held during Reload, so that concurrent calls run one after another
}

// New returns a proxy that serves clients during Run. It opens the listeners unless another process of this proxy is
// running. In that case Run opens them once this process can serve as well as the other one.
func New(cfg config.Config, log *slog.Logger) (*Proxy, error) {
	zones := discovery.NewZones(cfg.Site.Zones)
	snapshot, err := config.NewSnapshot(cfg, zones, nil)
	if err != nil {
		return nil, err
	}
	b, err := balancer.New(snapshot.Balancer, cfg.Seed)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		log:                log,
		config:             cfg,
		operatorState:      openOperatorState(cfg, log),
		opened:             make(chan struct{}),
		discoveryAddresses: make(chan string),
	}
	p.wire(b, zones, snapshot)
	p.restoreState()
	alone := p.operatorState.Alone()
	p.limits.setAlone(alone)
	if !alone {
		p.importLearned()
		return p, nil
	}
	if err := p.open(); err != nil {
		return nil, err
	}
	return p, nil
}

// wire creates the proxy's components and connects them.
func (p *Proxy) wire(b *balancer.Balancer, zones discovery.Zones, snapshot *config.Snapshot) {
	clients, backends := p.config.Limits.Connections()
	heads, memory := message.NewHeadBudget(), newMemoryPressure()
	p.clients = clientconn.NewListener(nil, clientconn.Options{
		MaxConnections: clients,
		RequestGrace:   clientconn.RequestGrace,
		HeadBudget:     heads,
		Overloaded:     memory.Exceeded,
		Log:            p.log,
	})
	p.limits = &resourceLimits{
		clients: p.clients,
		pool:    upstream.NewPool(p.config.Site.DialTimeout, p.config.Site.IdleClose, backends),
		budget:  message.NewBodyBudget(),
		heads:   heads,
		memory:  memory,
		limits:  p.config.Limits,
	}
	p.loop = newEventLoop(b, zones, p.limits, snapshot, p.log)
	if p.operatorState.Shared() {
		p.loop.catalog = discovery.NewCatalog()
		p.loop.departed.share(p.operatorState)
	}
	p.server = downstream.NewServer(downstream.Options{
		Listener:   p.clients,
		Budget:     p.limits.budget,
		Dispatcher: p.loop,
		Clock:      p.loop.clock,
		Log:        p.log,
		Overloaded: memory.Exceeded,
	})
	if p.config.Console != "" {
		p.console = admin.NewServer(p, p.log)
	}
}

// openOperatorState returns the store that the processes of this proxy share. It returns an in-memory store instead if no
// directory is configured, if there is no console to change the state, or if the shared store can't be opened.
func openOperatorState(cfg config.Config, log *slog.Logger) *operatorstate.Store {
	if cfg.TempDir == "" || cfg.Console == "" {
		return operatorstate.NewInMemory(log)
	}
	store, err := operatorstate.Open(cfg.TempDir, cfg.Name, log)
	if err != nil {
		log.Error("cannot open the operator state, using an empty one in memory", "error", err)
		return operatorstate.NewInMemory(log)
	}
	return store
}

// restoreState applies the stored operator state and the cached endpoint list to the loop, before it runs.
func (p *Proxy) restoreState() {
	state := p.operatorState.Current()
	p.loop.setDetached(state.Detached)
	if p.config.Known != nil {
		p.loop.applyList(balancer.CachedUpdate, p.config.Known)
	}
	for id, attachedAt := range state.AttachedAt { // attached recently, so the balancer has to slow-start them
		p.loop.balancer.Detach(id)
		p.loop.balancer.Attach(attachedAt, id)
	}
}

// importLearned imports the learned state that another process has saved into the balancer, before the loop runs. It
// ignores state that is not recent.
func (p *Proxy) importLearned() {
	learned, recent, err := p.operatorState.LoadLearned()
	if err != nil {
		p.log.Error("cannot load the learned state", "error", err)
		return
	}
	if recent {
		p.loop.balancer.ImportState(learned)
	}
}

// open opens the listeners. All processes of this proxy may listen at the same client address; the newest process gets the
// new connections.
func (p *Proxy) open() error {
	peers := p.operatorState.AcceptingPeers()
	listener, err := socket.ListenShared(p.config.Listen, peers, p.log)
	if err != nil {
		return fmt.Errorf("cannot listen for clients: %w", err)
	}
	p.clients.Listener = listener
	if p.console != nil {
		if err := p.console.Listen(p.config.Console); err != nil {
			listener.Close()
			return err
		}
	}
	if err := p.operatorState.StartAccepting(); err != nil {
		return err
	}
	close(p.opened)
	p.log.Info("open", "address", p.config.Listen, "console", p.config.Console, "others", peers)
	return nil
}

// isOpen reports whether the listeners are open.
func (p *Proxy) isOpen() bool { return isClosed(p.opened) }

// Addr returns the address where clients connect. It must not be called before the listeners are open.
func (p *Proxy) Addr() string { return p.clients.Addr().String() }

// ConsoleAddr returns the address where operators connect. It must not be called before the listeners are open, or on a
// proxy without a console.
func (p *Proxy) ConsoleAddr() string { return p.console.Addr().String() }
