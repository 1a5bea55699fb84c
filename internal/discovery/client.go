package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// NoVersion means that no version is known, so that a call has to request the complete list.
const NoVersion int64 = -1

const maxConnections = 2 // to the service, at the same time

var errVersionDecreased = errors.New("list version decreased")

// Dialer opens a connection to the discovery service.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Update reports the result of a call to the discovery service.
type Update struct {
	List *List // nil if the call failed; the list received last stays in use
}

// Options configure a Client.
type Options struct {
	Address string // host:port of the service
	Known   int64  // the version of the list that the caller has from this address, or NoVersion
	// Poll is set if all proxies share one service, which they have to poll. Otherwise Address is an agent on this
	// machine, to which the service pushes the list.
	Poll bool
	// AwaitRequest, with Poll, delays the client's first call until it receives a value from Requests.
	AwaitRequest bool

	// Updates receives each list, in order, and with Poll also the failure of a call after which the client waits for a
	// value from Requests.
	Updates  chan<- Update
	Requests <-chan struct{} // with Poll: delivers a value when the balancer requests a watch
	Log      *slog.Logger

	Dial   Dialer     // nil for TCP
	Random *rand.Rand // for waits and backoffs; nil for a randomly seeded one. Only Run uses it
}

// Client watches the endpoint list of a discovery service.
type Client struct {
	options Options
	http    *http.Client
	policy  policy

	version            int64 // of the list received last, at first Options.Known; NoVersion after errVersionDecreased
	needSnapshot       bool  // the next call requests the complete list
	callWithoutRequest bool  // with Poll: the next call does not wait for a value from Requests

	watchWait       time.Duration // the longest time for which a watch waits for changes
	snapshotTimeout time.Duration
	backoff         time.Duration // before the next call, after a failure that is not a timeout
}

// NewClient returns a client that makes its first call in Run.
func NewClient(o Options) *Client {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	transport := &http.Transport{MaxConnsPerHost: maxConnections, DisableCompression: true, DialContext: o.Dial}
	c := &Client{
		options:            o,
		http:               &http.Client{Transport: transport},
		policy:             agentPolicy,
		version:            o.Known,
		needSnapshot:       !o.Poll || o.Known < 0,
		callWithoutRequest: !o.AwaitRequest,
		backoff:            minBackoff,
	}
	if o.Poll {
		c.policy = pollPolicy
	}
	c.watchWait, c.snapshotTimeout = c.policy.minWatchWait, c.policy.minSnapshotTimeout
	return c
}

// Run watches the list until the context ends. It first requests the complete list, unless it polls and knows a version.
// After an invalid or incomplete response the version is uncertain, so it requests the complete list again. Each watch
// starts as soon as the previous response has arrived, because the service counts a change that happens between two
// watches as received late.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for c.awaitRequest(ctx) {
		from := c.version
		if c.needSnapshot {
			from = NoVersion
		}
		list, err := c.fetchList(ctx, from)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Snapshot && list.Index < from {
			err = fmt.Errorf("%w from %d to %d", errVersionDecreased, from, list.Index)
			c.version = NoVersion
		}
		if err != nil {
			c.handleFailure(ctx, from, err)
		} else {
			c.handleList(ctx, list)
		}
	}
}

// awaitRequest waits for a value from Requests if the next call needs one. It returns false if the context has ended.
func (c *Client) awaitRequest(ctx context.Context) bool {
	if c.options.Poll && !c.callWithoutRequest {
		select {
		case <-c.options.Requests:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (c *Client) handleList(ctx context.Context, list *List) {
	c.version, c.needSnapshot, c.callWithoutRequest = list.Index, false, true
	c.backoff = minBackoff
	if c.options.Poll {
		c.watchWait = max(c.policy.minWatchWait, c.watchWait-watchWaitDecrease)
		c.snapshotTimeout = c.policy.minSnapshotTimeout
	}
	c.publish(ctx, Update{List: list})
}

// handleFailure decides which call follows one that returned no list. from is the version that the failed call sent.
//
// If a watch of an agent times out, the client immediately watches again from the same version, because a call for the
// complete list would time out before the agent responds again. With Poll, the client immediately requests the complete
// list if a watch times out. After any other failure it waits until the balancer requests the next call, unless it has no
// valid list from this address yet.
func (c *Client) handleFailure(ctx context.Context, from int64, err error) {
	c.options.Log.Warn("discovery", "error", err)
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, errUnavailable) {
		c.needSnapshot = c.version < 0 || c.options.Poll || !timedOut
	}
	if timedOut && from < 0 { // the cause may be a busy CPU core or a long queue
		c.snapshotTimeout = min(2*c.snapshotTimeout, c.policy.maxSnapshotTimeout)
	}
	if !c.options.Poll {
		c.backOff(ctx, timedOut)
		return
	}
	c.watchWait = min(c.policy.maxWatchWait, time.Duration(watchWaitGrowth*float64(c.watchWait)))
	withoutList := c.version < 0
	c.callWithoutRequest = withoutList || timedOut && from >= 0
	if withoutList {
		c.backOff(ctx, timedOut)
	} else if !c.callWithoutRequest {
		c.publish(ctx, Update{})
	}
}

// backOff waits before the next call, for a time that grows exponentially. It returns at once after a call that timed out,
// since that call has taken long enough.
func (c *Client) backOff(ctx context.Context, timedOut bool) {
	if timedOut {
		return
	}
	select {
	case <-time.After(c.jitter(c.backoff)):
	case <-ctx.Done():
	}
	c.backoff = min(2*c.backoff, c.policy.maxBackoff)
}

// jitter returns a random duration in the upper half of wait, so that proxies whose calls fail at the same time don't
// retry at the same time.
func (c *Client) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(c.options.Random.Int64N(int64(wait/2+1)))
}

func (c *Client) publish(ctx context.Context, u Update) {
	select {
	case c.options.Updates <- u:
	case <-ctx.Done():
	}
}
