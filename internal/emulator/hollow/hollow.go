// Package hollow emulates proxies without client sockets, so that one process holds a thousand of them. Each has the
// real discovery client, and the real balancer in an event loop of its own. Time is that of package time, so that a
// Proxy also runs under testing/synctest.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

// Call is one request that a Proxy balances.
type Call struct {
	ID       string // unique among the unanswered calls of its Proxy
	Class    int
	Tenant   int
	Key      string
	Deadline time.Time // zero: that of its class
	Depth    int       // tier that it is for; not used by the Proxy
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Failed   Outcome = iota // it may have run
	Served                  // answered by a backend
	Rejected                // not run; a retry is safe
)

// Result is the final answer of a call.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // hint of a rejection; 0: none
	Attempts   int           // attempts that were sent
}

// Upstream sends attempts to the backends.
type Upstream interface {
	// Attempt sends a call to an endpoint and blocks until its outcome. The context ends at the attempt's time-out,
	// which is call.Deadline, or when the attempt is cancelled; Attempt then returns balancer.Cancelled at once, and
	// the Proxy tells the two apart. Each Attempt is called on a goroutine of its own.
	Attempt(ctx context.Context, endpoint string, call Call) balancer.Status
}

// Config configures a Proxy.
type Config struct {
	Name     string
	Settings balancer.Settings
	Zones    []string // names; Settings.Zone is an index into them
	Seed     uint64   // of all random draws

	// Discovery holds the Address and Dial of the discovery service. The other options follow from Settings and
	// Known, as in the real proxy. Without an Address the Known list stays in force.
	Discovery discovery.Options
	Known     *discovery.List // the endpoint list as last known; may be nil

	Upstream Upstream // may be nil if there are no calls
	// OnListApplied is called by the loop each time the balancer has applied an update from discovery. It must return
	// soon, and may be nil.
	OnListApplied func(list *discovery.List, at time.Time)

	CallRate float64            // generated calls a second, a Poisson process; 0: none
	OnResult func(Call, Result) // called by the loop with the final answer of each generated call; may be nil
}

func (c *Config) check() error {
	switch {
	case !(c.CallRate >= 0):
		return fmt.Errorf("CallRate %v is negative", c.CallRate)
	case c.CallRate > 0 && c.Upstream == nil:
		return errors.New("CallRate without an Upstream")
	case len(c.Zones) != c.Settings.Zones:
		return fmt.Errorf("%d Zones, but Settings.Zones is %d", len(c.Zones), c.Settings.Zones)
	}
	return nil
}

// Proxy is one hollow proxy.
type Proxy struct {
	loop   *loop
	client *discovery.Client // nil without discovery
}

// New returns a Proxy that has the known endpoint list. Run runs it.
func New(cfg Config) (*Proxy, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("hollow proxy: %w", err)
	}
	decisions, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("hollow proxy: %w", err)
	}
	l := newLoop(cfg, decisions)
	p := &Proxy{loop: l}
	if cfg.Known != nil {
		l.applyList(balancer.CachedUpdate, cfg.Known)
	}
	if cfg.Discovery.Address != "" {
		p.client = newClient(cfg, l)
	}
	return p, nil
}

// newClient returns a discovery client with the options of a real proxy's.
func newClient(cfg Config, l *loop) *discovery.Client {
	o := cfg.Discovery
	o.Known, o.Poll, o.AwaitRequest = discovery.NoVersion, cfg.Settings.SubscribeRequired, false
	if cfg.Known != nil {
		o.Known, o.AwaitRequest = cfg.Known.Index, cfg.Settings.SubscribeRequired
	}
	o.Updates, o.Requests = l.updates, l.watchRequests
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(cfg.Seed, clientStream))
	}
	return discovery.NewClient(o)
}

// Run runs the Proxy until the context ends, and returns when all of its goroutines have ended. It is called once.
func (p *Proxy) Run(ctx context.Context) {
	var client sync.WaitGroup
	if p.client != nil {
		client.Go(func() { p.client.Run(ctx) })
	}
	p.loop.run(ctx)
	client.Wait()
}

// Call hands a call to the Proxy and blocks until its final answer. A call whose context ends is cancelled and failed,
// and so is one that is open when Run ends.
func (p *Proxy) Call(ctx context.Context, call Call) Result {
	r := &request{call: call, result: make(chan Result, 1)}
	if !p.loop.post(ctx, event{kind: callArrived, request: r}) {
		return Result{}
	}
	select {
	case result := <-r.result:
		return result
	case <-p.loop.done:
	case <-ctx.Done():
		p.loop.post(context.WithoutCancel(ctx), event{kind: callCancelled, request: r})
	}
	select {
	case result := <-r.result: // it came first
		return result
	default:
		return Result{}
	}
}
