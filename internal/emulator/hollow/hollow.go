// Package hollow emulates proxies without client and backend sockets, so that one process can hold a thousand of them.
// A hollow proxy takes calls from Go callers or from its own generator, and hands attempts to an Upstream in the same
// process. It uses the real discovery client, and runs the real balancer in its own event loop. It uses the clock and
// timers of package time, so that a Proxy also runs under testing/synctest.
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
	ID       string // unique among the calls of its Proxy that are unanswered or have an attempt in flight
	Class    int
	Tenant   int
	Key      string
	Deadline time.Time // zero: use the deadline of its class
	Depth    int       // number of the tier that the call is for; not used by the Proxy
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Failed   Outcome = iota // the call may have run
	Served                  // answered by a backend
	Rejected                // the call did not run, so a retry is safe
)

// Result is the final answer of a call.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // how long to wait before retrying a rejected call; 0: no hint
	Attempts   int           // attempts that were sent
}

// Upstream sends attempts to the backends.
type Upstream interface {
	// Attempt sends a call to an endpoint and blocks until its outcome. The context ends at call.Deadline, when the
	// attempt times out, or earlier if the attempt is cancelled. In both cases Attempt returns balancer.Cancelled at
	// once, and the Proxy distinguishes a timeout from a cancellation. Each attempt runs on its own goroutine.
	Attempt(ctx context.Context, endpoint string, call Call) balancer.Status
}

// Config configures a Proxy.
type Config struct {
	Name     string
	Settings balancer.Settings
	Zones    []string // names; Settings.Zone is an index into them
	Seed     uint64   // of all random values

	// Discovery holds the Address of the discovery service and, optionally, Dial, Log and Random. The Proxy derives
	// the other options from Settings and Known, as the real proxy does. Without an Address the Proxy runs no
	// discovery client and keeps the Known list.
	Discovery discovery.Options
	Known     *discovery.List // the last known endpoint list; may be nil

	Upstream Upstream // may be nil if there are no calls
	// OnListApplied is called by the event loop each time the balancer has applied a list from discovery. It must not
	// block, and may be nil.
	OnListApplied func(list *discovery.List, at time.Time)

	CallRate float64            // mean rate of generated calls per second, a Poisson process; 0: none
	OnResult func(Call, Result) // called by the event loop when a generated call ends; may be nil
}

func (c *Config) check() error {
	switch {
	case !(c.CallRate >= 0):
		return fmt.Errorf("CallRate %v is negative or not a number", c.CallRate)
	case c.CallRate > 0 && c.Upstream == nil:
		return errors.New("CallRate is set, but Upstream is nil")
	case len(c.Zones) != c.Settings.Zones:
		return fmt.Errorf("%d Zones, but Settings.Zones is %d", len(c.Zones), c.Settings.Zones)
	}
	return nil
}

// Proxy is a hollow proxy, as described in the package comment.
type Proxy struct {
	loop   *loop
	client *discovery.Client // nil without discovery
}

// New returns a Proxy whose balancer has the known endpoint list. The Proxy does nothing until Run is called.
func New(cfg Config) (*Proxy, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("hollow proxy: %w", err)
	}
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("hollow proxy: %w", err)
	}
	l := newLoop(cfg, b)
	p := &Proxy{loop: l}
	if cfg.Known != nil {
		l.applyList(balancer.CachedUpdate, cfg.Known)
	}
	if cfg.Discovery.Address != "" {
		p.client = newClient(cfg, l)
	}
	return p, nil
}

// newClient returns a discovery client with the same options as that of a real proxy.
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

// Run runs the Proxy until the context ends, and returns when all of its goroutines have ended. It must be called only
// once.
func (p *Proxy) Run(ctx context.Context) {
	var client sync.WaitGroup
	if p.client != nil {
		client.Go(func() { p.client.Run(ctx) })
	}
	p.loop.run(ctx)
	client.Wait()
}

// Call makes a call through the Proxy and blocks until its final answer. If the context or Run ends before that, the
// call is cancelled and fails.
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
	case result := <-r.result: // the answer came before the cancellation
		return result
	default:
		return Result{}
	}
}
