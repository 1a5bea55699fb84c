// Package hollow emulates proxies: each has the real client of discovery and the real decision module with its own
// event loop, but no client sockets, so that a process holds a thousand of them. Time is that of package time, so
// that a Proxy also runs under testing/synctest.
package hollow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

// Call is one call that a Proxy balances.
type Call struct {
	ID       string // unique among the calls of its Proxy that are not answered yet
	Class    int
	Tenant   int
	Key      string
	Deadline time.Time // when its client gives it up; zero: after its class's deadline
	Depth    int       // of the tier that it is for; only handed on
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Failed  Outcome = iota // without any promise
	Served                 // a backend has answered it
	Refused                // unserved; the client may safely come again
)

// Result is the final answer of a call.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // of a refusal: come again after this; 0 for no word
	Attempts   int           // sends that were carried out
}

// Upstream carries attempts to the backends.
type Upstream interface {
	// Attempt sends a call to a server and blocks until its outcome. Its context ends at the attempt's time-out, which is
	// call.Deadline too, or when the attempt is given up; it then returns balancer.Cancelled at once, and the Proxy tells the
	// two apart. Each Attempt is called on a goroutine of its own.
	Attempt(ctx context.Context, server string, call Call) balancer.Status
}

// Config says what a Proxy is to be.
type Config struct {
	Name     string
	Settings balancer.Settings
	Zones    []string // the names of the zones that Settings number
	Seed     uint64   // of all random draws

	// Where discovery is: Address and Dial. The rest is filled in, as the real proxy does, from Settings and Known.
	// Without an Address there is no discovery, and the Known list stands.
	Discovery discovery.Options
	Known     *discovery.List // the list as last known; may be nil

	Upstream Upstream // may be nil where no calls come
	// Applied is called right after the module has taken in a list from discovery, by the loop: it has to return soon.
	Applied func(list *discovery.List, at time.Time)

	CallsPerSecond float64            // calls that the Proxy draws by itself, a Poisson process; 0: none
	Answered       func(Call, Result) // takes the final answer of each drawn call, called by the loop; may be nil
}

func (c *Config) check() error {
	switch {
	case !(c.CallsPerSecond >= 0):
		return errors.New("hollow proxy: negative CallsPerSecond")
	case c.CallsPerSecond > 0 && c.Upstream == nil:
		return errors.New("hollow proxy: calls are to be drawn, but there is no Upstream")
	case len(c.Zones) != c.Settings.Zones:
		return errors.New("hollow proxy: Zones do not match Settings.Zones")
	}
	return nil
}

// Proxy is one hollow proxy.
type Proxy struct {
	loop   *loop
	client *discovery.Client // nil without discovery
}

// New returns a Proxy that has the known list. It does its work in Run.
func New(cfg Config) (*Proxy, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	decisions, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := newLoop(cfg, decisions)
	p := &Proxy{loop: l}
	if cfg.Known != nil {
		l.apply(balancer.CachedUpdate, cfg.Known)
	}
	if cfg.Discovery.Address != "" {
		p.client = newClient(cfg, l)
	}
	return p, nil
}

// newClient returns a client of discovery that is set up as the real proxy's is.
func newClient(cfg Config, l *loop) *discovery.Client {
	o := cfg.Discovery
	o.Known, o.Poll, o.AwaitRequest = discovery.NoVersion, cfg.Settings.SubscribeRequired, false
	if cfg.Known != nil {
		o.Known, o.AwaitRequest = cfg.Known.Index, cfg.Settings.SubscribeRequired
	}
	o.Updates, o.Requests = l.lists, l.watchRequests
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(cfg.Seed, clientStream))
	}
	return discovery.NewClient(o)
}

// Run does the Proxy's work until the context ends, and returns when all of it has ended. It is called once.
func (p *Proxy) Run(ctx context.Context) {
	var parts sync.WaitGroup
	if p.client != nil {
		parts.Go(func() { p.client.Run(ctx) })
	}
	p.loop.run(ctx)
	parts.Wait()
}

// Call hands a call to the Proxy and blocks until its final answer. A call whose context ends is given up, and one
// that the end of Run leaves open has failed.
func (p *Proxy) Call(ctx context.Context, call Call) Result {
	r := &request{call: call, answer: make(chan Result, 1)}
	if !p.loop.post(ctx, event{kind: callTaken, request: r}) {
		return Result{}
	}
	select {
	case result := <-r.answer:
		return result
	case <-p.loop.done:
	case <-ctx.Done():
		p.loop.post(context.WithoutCancel(ctx), event{kind: callWithdrawn, request: r})
	}
	select {
	case result := <-r.answer: // it was there already
		return result
	default:
		return Result{}
	}
}
