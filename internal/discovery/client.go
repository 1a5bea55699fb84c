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

const (
	// How long a watch may wait for news. A connection to discovery can fall silent, and nothing shows it but
	// an answer that is overdue: what was to be told meanwhile counts as told 6 s after that, or 2 s after the wait
	// if that is later. Where the list is pushed, asking costs nothing; where it is asked, all proxies share one
	// service.
	pushHold = 2 * time.Second
	askHold  = 2500 * time.Millisecond // and down to two thirds of it, or all proxies would find a silence at once
	// All proxies of a fleet wait in turn, and each watch is one call: where calls fail, the waits of those that follow
	// grow to this, so that the service keeps up, and shrink again with each answer.
	askMost   = 4 * time.Second
	askLonger = 1.25
	askLess   = 50 * time.Millisecond

	// An answer is overdue so long after a watch's wait, and the whole list after wholePatience. Where the list is
	// pushed an agent on this machine answers at once or, while discovery is down, not at all, and what it learns when
	// discovery returns counts as told at once. It then answers the watches whose wait is not over, so there has to
	// be one at any time but for moments well within the grace of a drain.
	pushPatience  = 100 * time.Millisecond
	wholePatience = 150 * time.Millisecond
	wholeMost     = time.Second // where no version is known to watch from, in the end
	askPatience   = 500 * time.Millisecond
	// Calls wait in turn, and one given up has to wait again. But a change counts as told 6 s after the list had it,
	// whatever call fell silent, was refused or was given up: a watch that is silent, a call for the whole list that is
	// given up and the module's rest before the next one take less.
	askWhole     = 2200 * time.Millisecond
	askWholeMost = 8 * time.Second // after such that were given up: in a fleet that starts, all wait

	retryFirst   = 50 * time.Millisecond  // after a call that failed at once
	retryMost    = 100 * time.Millisecond // at most
	askRetryMost = time.Second            // the same where all proxies share one service
)

// NoVersion stands for a version that is not known: the whole list has to be asked for.
const NoVersion int64 = -1

// Dialer opens a connection to the discovery service.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Update is what a call to discovery brought.
type Update struct {
	List *List // nil: the call failed, and the list as last told stands
}

// Options say where discovery is and how a Client is to watch it.
type Options struct {
	Address string // host:port
	Known   int64  // the version of the list that the caller has from this address, or NoVersion
	Ask     bool   // the list has to be asked for, from a service that all proxies share; otherwise it is pushed
	// With Ask: no call is made before Requests says so. Otherwise the first one is made at once.
	AwaitRequest bool

	Updates  chan<- Update   // takes what each call brought, in order
	Requests <-chan struct{} // with Ask: the decision module's word to open a watch
	Log      *slog.Logger

	Dial   Dialer     // nil: over TCP
	Random *rand.Rand // draws waits and retries; nil: seeded at random. Run alone may use it
}

// Client keeps a watch on the list of backends and hands on each answer.
type Client struct {
	Options
	http *http.Client

	version   int64         // of the list as last told; NoVersion if it is in doubt
	wantWhole bool          // the next call asks for the whole list
	requested bool          // with Ask: the next call needs no word of the module
	hold      time.Duration // how long a watch may wait for news
	spread    time.Duration // waits are drawn up to so much below hold
	patience  time.Duration // an answer may come so long after a watch's wait
	whole     time.Duration // the answer with the whole list may take so long
	retry     time.Duration // before the next call after one that failed at once
}

// NewClient returns a client that makes its first call in Run.
func NewClient(o Options) *Client {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	transport := &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, DialContext: o.Dial}
	c := &Client{Options: o, http: &http.Client{Transport: transport}, version: o.Known,
		wantWhole: !o.Ask || o.Known < 0, requested: !o.AwaitRequest, retry: retryFirst,
		hold: pushHold, patience: pushPatience, whole: wholePatience}
	if o.Ask {
		c.hold, c.spread, c.patience, c.whole = askHold, askHold/3, askPatience, askWhole
	}
	return c
}

// Run watches until the context ends. It begins with the whole list, and so it does after an answer that makes no
// sense or breaks off: the version may be in doubt then. Where calls wait in turn and a version is known, one call has
// to do. The next watch follows its answer at once, lest changes in between count as told late.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for c.mayCall(ctx) {
		from := c.version
		if c.wantWhole {
			from = NoVersion
		}
		list, err := c.call(ctx, from)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Snapshot && list.Index < from {
			err = fmt.Errorf("version went back from %d to %d", from, list.Index)
			c.version = NoVersion
		}
		if err != nil {
			c.failed(ctx, from, err)
		} else {
			c.answered(ctx, list)
		}
	}
}

// mayCall waits for the module's word where one is needed. It returns false once the context has ended.
func (c *Client) mayCall(ctx context.Context) bool {
	if c.Ask && !c.requested {
		select {
		case <-c.Requests:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (c *Client) answered(ctx context.Context, list *List) {
	c.version, c.wantWhole, c.retry, c.requested = list.Index, false, retryFirst, true
	if c.Ask {
		c.hold, c.whole = max(askHold, c.hold-askLess), askWhole
	}
	c.tell(ctx, Update{List: list})
}

// failed decides what follows a call that brought no list. Where the list is pushed, a watch from the version that the
// caller has follows a silence at once: a call for the whole list would not outlast the silence. Where it is asked for,
// the whole list follows a watch's silence at once, and the module says when to ask after any other failure, but while
// there is no list from this address.
func (c *Client) failed(ctx context.Context, from int64, err error) {
	c.Log.Warn("discovery", "error", err)
	silent := errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, errBusy) {
		c.wantWhole = c.version < 0 || c.Ask || !silent
	}
	if silent && from < 0 { // a busy core, or many in turn, may be what is slow
		c.whole = min(2*c.whole, c.wholeMost())
	}
	if !c.Ask {
		c.rest(ctx, silent)
		return
	}
	c.hold = min(askMost, time.Duration(askLonger*float64(c.hold)))
	withoutList := c.version < 0
	c.requested = withoutList || silent && from >= 0
	if withoutList {
		c.rest(ctx, silent)
	} else if !c.requested {
		c.tell(ctx, Update{})
	}
}

func (c *Client) wholeMost() time.Duration {
	if c.Ask {
		return askWholeMost
	}
	return wholeMost
}

func (c *Client) retryMost() time.Duration {
	if c.Ask {
		return askRetryMost
	}
	return retryMost
}

// rest waits before the next call, unless the last one has taken its time already.
func (c *Client) rest(ctx context.Context, silent bool) {
	if silent {
		return
	}
	select {
	case <-time.After(c.jitter(c.retry)):
	case <-ctx.Done():
	}
	c.retry = min(2*c.retry, c.retryMost())
}

// jitter is a part of a wait, so that proxies that lost discovery together do not come back together.
func (c *Client) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(c.Random.Int64N(int64(wait/2+1)))
}

func (c *Client) tell(ctx context.Context, u Update) {
	select {
	case c.Updates <- u:
	case <-ctx.Done():
	}
}
