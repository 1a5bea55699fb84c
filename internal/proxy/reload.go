package proxy

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/settings"
)

// snapshot is the changeable part of one configuration, ready for use. It is never changed: a reload puts another one in
// its place, and each request is read and handed over under one of them.
type snapshot struct {
	site     *settings.Site
	logic    balancer.Settings // site.Logic with the numbers that zones have here
	classes  map[string]int    // numbers by name
	tenants  map[string]int
	longest  time.Duration // the longest deadline
	earlier  earlierDeadline
	sockets  int
	memoryMB float64
	cores    float64
	version  string
	taken    time.Time
}

// newSnapshot checks what can be checked without the module.
func newSnapshot(cfg Config, zones discovery.Zones) (*snapshot, error) {
	if err := cfg.Site.CheckSockets(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if forClients, _ := divide(cfg.Sockets); forClients < leastEach {
		return nil, fmt.Errorf("limits: %d sockets are too few", cfg.Sockets)
	}
	s := &snapshot{site: cfg.Site, logic: cfg.Site.Balancer, classes: numbers(cfg.Site.Classes),
		tenants: numbers(cfg.Site.Tenants), sockets: cfg.Sockets, memoryMB: cfg.MemoryMB, cores: cfg.Cores,
		version: cfg.Version, taken: time.Now()}
	for _, c := range s.logic.Classes {
		s.longest = max(s.longest, c.Deadline.Duration())
	}
	// Zones keep the numbers of the start, as the module compares servers and attempts by them.
	if z := s.logic.Zone; z >= 0 && z < len(cfg.Site.Zones) {
		s.logic.Zone = zones.Number(cfg.Site.Zones[z])
		s.logic.Zones = max(s.logic.Zones, s.logic.Zone+1)
	}
	return s, nil
}

// earlierDeadline is the longest deadline of requests that came under earlier settings, until the last has passed.
type earlierDeadline struct {
	longest time.Duration
	until   time.Time
}

// follow tells a snapshot, before it is put in force, of the one that it replaces.
func (s *snapshot) follow(old *snapshot) {
	s.earlier = earlierDeadline{
		longest: old.longestAt(s.taken),
		until:   later(old.earlier.until, s.taken.Add(old.longest)),
	}
}

// longestAt is the longest deadline of requests that may be open then.
func (s *snapshot) longestAt(now time.Time) time.Duration {
	if now.Before(s.earlier.until) {
		return max(s.longest, s.earlier.longest)
	}
	return s.longest
}

func numbers(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

// word is what operators are shown of the settings in force.
func (s *snapshot) word() string {
	return fmt.Sprintf("settings=%s taken=%s", s.version, s.taken.UTC().Format("2006-01-02T15:04:05.000Z"))
}

// Reload puts another configuration in force without a restart. It is checked whole, taken by the loop at one instant, and
// in force when Reload returns; on an error nothing has changed. Its Seed and Known count only at a start. It may be called
// while Run does its work, and waits for Run to begin.
func (p *Proxy) Reload(cfg Config) error {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	if err := p.checkFixed(cfg); err != nil {
		return err
	}
	if err := checkAddress(cfg.Discovery); err != nil {
		return err
	}
	next, err := newSnapshot(cfg, p.loop.zones)
	if err != nil {
		return err
	}
	var refused error
	if err := p.loop.do(context.Background(), func() { refused = p.take(next) }); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	p.cfg.Log.Info("settings in force", "version", next.version, "discovery", cfg.Discovery)
	p.renew(cfg.Discovery)
	return nil
}

// checkFixed refuses what a running process can't change.
func (p *Proxy) checkFixed(cfg Config) error {
	for _, c := range []struct{ key, old, next string }{
		{"name", p.cfg.Name, cfg.Name},
		{"listen", p.cfg.Listen, cfg.Listen},
		{"console", p.cfg.Console, cfg.Console},
	} {
		if c.old != c.next {
			return fmt.Errorf("%s: a change from %q to %q needs a restart", c.key, c.old, c.next)
		}
	}
	return nil
}

func checkAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// take puts a snapshot in force, or leaves all as it is. The loop calls it.
func (p *Proxy) take(next *snapshot) error {
	if err := p.loop.bal.Reconfigure(next.logic); err != nil {
		return err
	}
	next.follow(p.loop.inForce.Load())
	p.loop.inForce.Store(next)
	p.loop.pool.SetTimeouts(next.site.DialTimeout, next.site.IdleClose)
	p.limits.Lock()
	defer p.limits.Unlock()
	p.applyLimits()
	return nil
}

// limit shares descriptors and memory with another process of this proxy while one lives: both count together.
func (p *Proxy) limit(alone bool) {
	p.limits.Lock()
	defer p.limits.Unlock()
	p.alone = alone
	p.applyLimits()
}

// applyLimits carries out the limits of the settings in force. The caller holds limits.
func (p *Proxy) applyLimits() {
	s := p.loop.inForce.Load()
	sockets, memory := s.sockets, s.memoryMB
	if !p.alone {
		sockets, memory = sockets/2, memory/2
	}
	forClients, forBackends := divide(sockets)
	p.front.clients.SetMaxConnections(max(forClients, leastEach))
	p.loop.pool.SetMaxOpen(forBackends)
	p.front.budget.SetLimit(memory)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memory * memoryPart * (1 << 20)))
	} else if p.memoryLimited {
		debug.SetMemoryLimit(math.MaxInt64)
	}
	p.memoryLimited = memory > 0
	if cores := int(math.Ceil(s.cores)); cores > 0 && cores != runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

// errOtherClass is why a request that was read under earlier settings can't be taken.
var errOtherClass = errors.New("its class has gone or repeats otherwise")

// renumber gives a request that was read under earlier settings the numbers that its class and tenant have now.
func (s *snapshot) renumber(r *request) error {
	was := r.snapshot.site
	class, ok := s.classes[was.Classes[r.Class]]
	if !ok || s.logic.Classes[class].Idempotency != was.Balancer.Classes[r.Class].Idempotency {
		return errOtherClass
	}
	r.Class = class
	if r.Tenant >= 0 {
		tenant, ok := s.tenants[was.Tenants[r.Tenant]]
		if !ok {
			tenant = noTenant
		}
		r.Tenant = tenant
	}
	r.snapshot = s
	return nil
}

// current has a request that the loop takes fit the settings in force. One that can't is refused: nothing of it has been
// sent, and its client may come again.
func (l *loop) current(r *request) bool {
	if s := l.inForce.Load(); r.snapshot != s && s.renumber(r) != nil {
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return false
	}
	return true
}
