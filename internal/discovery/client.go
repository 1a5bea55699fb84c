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

// NoVersion stands for a version that is not known: only the complete list helps.
const NoVersion int64 = -1

const maxConnections = 2

var errVersionWentBack = errors.New("the list's version went back")

// Dialer opens a connection to the discovery service.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Update is the result of a call to the discovery service.
type Update struct {
	List *List // nil if the call failed: the list as last received stands
}

// Options configure a Client.
type Options struct {
	Address string // host:port of the service
	Known   int64  // the version of the list that the caller has from this address, or NoVersion
	// Poll is set where all proxies share one service, and the list has to be polled. Otherwise an agent on this machine
	// has the list pushed to it.
	Poll bool
	// AwaitRequest, with Poll, keeps the client from its first call until Requests holds something.
	AwaitRequest bool

	Updates  chan<- Update   // receives the result of each call, in order
	Requests <-chan struct{} // with Poll: the balancer asks for a watch
	Log      *slog.Logger

	Dial   Dialer     // nil for TCP
	Random *rand.Rand // draws waits and backoffs; nil for one that is seeded at random. Only Run uses it
}

// Client keeps a watch on the endpoint list of a discovery service.
type Client struct {
	options Options
	http    *http.Client
	policy  policy

	version      int64 // of the list as last received, or NoVersion where that is in doubt
	needSnapshot bool  // the next call asks for the complete list
	requested    bool  // with Poll: the next call needs no request of the balancer

	watchWait       time.Duration // the longest time that a watch may wait for changes
	snapshotTimeout time.Duration
	backoff         time.Duration // before the next call after one that failed at once
}

// NewClient returns a client that makes its first call in Run.
func NewClient(o Options) *Client {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	transport := &http.Transport{MaxConnsPerHost: maxConnections, DisableCompression: true, DialContext: o.Dial}
	c := &Client{
		options:      o,
		http:         &http.Client{Transport: transport},
		policy:       agentPolicy,
		version:      o.Known,
		needSnapshot: !o.Poll || o.Known < 0,
		requested:    !o.AwaitRequest,
		backoff:      minBackoff,
	}
	if o.Poll {
		c.policy = pollPolicy
	}
	c.watchWait, c.snapshotTimeout = c.policy.minWatchWait, c.policy.minSnapshotTimeout
	return c
}

// Run watches the list until the context ends. It begins with the complete list unless it polls and knows a version, and
// asks for the complete list again after an answer that is invalid or incomplete, as the version is in doubt then. Each
// watch follows the previous answer at once: the service counts changes in between as received late.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for c.awaitRequest(ctx) {
		from := c.version
		if c.needSnapshot {
			from = NoVersion
		}
		list, err := c.call(ctx, from)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Snapshot && list.Index < from {
			err = fmt.Errorf("%w from %d to %d", errVersionWentBack, from, list.Index)
			c.version = NoVersion
		}
		if err != nil {
			c.handleFailure(ctx, from, err)
		} else {
			c.handleList(ctx, list)
		}
	}
}

// awaitRequest waits for a request of the balancer where one is needed. It returns false once the context has ended.
func (c *Client) awaitRequest(ctx context.Context) bool {
	if c.options.Poll && !c.requested {
		select {
		case <-c.options.Requests:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (c *Client) handleList(ctx context.Context, list *List) {
	c.version, c.needSnapshot, c.requested = list.Index, false, true
	c.backoff = minBackoff
	if c.options.Poll {
		c.watchWait = max(c.policy.minWatchWait, c.watchWait-watchWaitDecrease)
		c.snapshotTimeout = c.policy.minSnapshotTimeout
	}
	c.publish(ctx, Update{List: list})
}

// handleFailure decides what follows a call that returned no list. from is the version that the call asked from.
//
// An agent that gives no answer to a watch is asked from the same version at once, since a call for the complete list would
// time out before the silence ends. With Poll a watch that times out is followed by a call for the complete list at once;
// after any other failure the balancer requests the next call, unless there is no list from this address yet.
func (c *Client) handleFailure(ctx context.Context, from int64, err error) {
	c.options.Log.Warn("discovery", "error", err)
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, errBusy) {
		c.needSnapshot = c.version < 0 || c.options.Poll || !timedOut
	}
	if timedOut && from < 0 { // a busy core or a long queue may be the cause
		c.snapshotTimeout = min(2*c.snapshotTimeout, c.policy.maxSnapshotTimeout)
	}
	if !c.options.Poll {
		c.backOff(ctx, timedOut)
		return
	}
	c.watchWait = min(c.policy.maxWatchWait, time.Duration(watchWaitGrowth*float64(c.watchWait)))
	withoutList := c.version < 0
	c.requested = withoutList || timedOut && from >= 0
	if withoutList {
		c.backOff(ctx, timedOut)
	} else if !c.requested {
		c.publish(ctx, Update{})
	}
}

// backOff waits before the next call, unless the last one has taken its time already.
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

// jitter draws a time from the upper half of a wait, so that proxies that failed together don't retry together.
func (c *Client) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(c.options.Random.Int64N(int64(wait/2+1)))
}

func (c *Client) publish(ctx context.Context, u Update) {
	select {
	case c.options.Updates <- u:
	case <-ctx.Done():
	}
}
