package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"fernlanding/logic"
)

const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"

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
	maxList      = 4 << 20
)

// endpoint is an entry of the list as discovery words it.
type endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Group   int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMs int64    `json:"since_ms"`
}

// List is the list of backends, or what has changed in it.
type List struct {
	index     int64
	full      bool
	endpoints []endpoint
}

// ParseList reads a list in discovery's form. A list with an entry that makes no sense is no list.
func ParseList(data []byte) (*List, error) {
	var raw struct {
		Index     *int64      `json:"index"`
		Snapshot  *bool       `json:"snapshot"`
		Endpoints *[]endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("index, snapshot or endpoints is missing")
	}
	for i, e := range *raw.Endpoints {
		if e.Name == "" {
			return nil, fmt.Errorf("endpoints[%d]: name is missing", i)
		}
		switch e.Status {
		case statusServing, statusDraining:
			if _, _, err := net.SplitHostPort(e.Address); err != nil {
				return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
			}
		case statusDeleted:
		default:
			return nil, fmt.Errorf("endpoints[%d]: unknown status %q", i, e.Status)
		}
	}
	return &List{index: *raw.Index, full: *raw.Snapshot, endpoints: *raw.Endpoints}, nil
}

// discovery keeps a watch on the list and hands each answer to the loop.
type discovery struct {
	addr     string
	known    int64 // the version of the list that the proxy has; -1 if it has none from this address
	hold     time.Duration
	spread   time.Duration // of holds, downwards
	patience time.Duration // beyond a hold
	whole    time.Duration // for the whole list
	log      *slog.Logger
	client   *http.Client
	lists    chan<- listNews
	asked    <-chan struct{} // with a subscription: the module's word to open it
}

// listNews is what discovery answered; a nil list is a call that failed.
type listNews struct{ list *List }

func newDiscovery(addr string, known int64, subscribe bool, log *slog.Logger, lists chan<- listNews, asked <-chan struct{}) *discovery {
	hold, spread, patience, whole := pushHold, time.Duration(0), pushPatience, wholePatience
	if subscribe {
		hold, spread, patience, whole = askHold, askHold/3, askPatience, askWhole
	}
	return &discovery{addr: addr, known: known, hold: hold, spread: spread, patience: patience, whole: whole, log: log,
		lists: lists, asked: asked,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
}

// run watches until the context ends. It begins with the whole list, and so it does after an answer that makes no sense
// or breaks off: the version may be in doubt then. Where calls wait in turn and a version is known, one call has to do. The next watch follows its answer at once, lest changes in between
// count as told late. Where the list is pushed, it also follows a silence at once and from the version that the proxy
// has: a call for the whole list would not outlast the silence. With subscribe the whole list follows it at once, and
// the module says when to ask after any other failure and, with first, at the start.
func (d *discovery) run(ctx context.Context, subscribe, first bool) {
	defer d.client.CloseIdleConnections()
	index, whole, wait := d.known, !subscribe || d.known < 0, retryFirst
	longest, rest := wholeMost, retryMost
	if subscribe {
		longest, rest = askWholeMost, askRetryMost
	}
	for subscribed := !first; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		from := index
		if whole {
			from = -1
		}
		list, err := d.call(ctx, from)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.full && list.index < from {
			err = fmt.Errorf("version went back from %d to %d", from, list.index)
			index = -1
		}
		if err == nil {
			index, whole, wait, subscribed = list.index, false, retryFirst, true
			if subscribe {
				d.hold, d.whole = max(askHold, d.hold-askLess), askWhole
			}
			d.tell(ctx, listNews{list})
			continue
		}
		d.log.Warn("discovery", "error", err)
		if subscribe {
			d.hold = min(askMost, time.Duration(askLonger*float64(d.hold)))
		}
		silent := errors.Is(err, context.DeadlineExceeded)
		if !errors.Is(err, errBusy) {
			whole = index < 0 || subscribe || !silent
		}
		alone := subscribe && index < 0 // the module says when to ask again, but not while it has no list from here
		subscribed = subscribe && (alone || silent && from >= 0)
		if silent && from < 0 { // a busy core, or many in turn, may be what is slow
			d.whole = min(2*d.whole, longest)
		}
		switch {
		case subscribed && !alone:
		case subscribe && !alone:
			d.tell(ctx, listNews{})
		case !silent:
			select {
			case <-time.After(jitter(wait)):
			case <-ctx.Done():
			}
			wait = min(2*wait, rest)
		}
	}
}

// jitter is a part of a wait, so that proxies that lost discovery together do not come back together.
func jitter(wait time.Duration) time.Duration { return wait/2 + rand.N(wait/2+1) }

func (d *discovery) tell(ctx context.Context, n listNews) {
	select {
	case d.lists <- n:
	case <-ctx.Done():
	}
}

var errBusy = errors.New("discovery is busy or down")

// call asks for what is newer than index, or for the whole list if that is negative.
func (d *discovery) call(ctx context.Context, index int64) (*List, error) {
	u, patience := "http://"+d.addr+"/catalog/members", d.whole
	if index >= 0 {
		hold := d.hold - rand.N(d.spread+1)
		u += "?from=" + strconv.FormatInt(index, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
		patience = hold + d.patience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errBusy
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask for the list: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := ParseList(data)
	if err != nil {
		return nil, fmt.Errorf("garbled list: %w", err)
	}
	return list, nil
}

// zones numbers zones by name: the settings' own from 0, any other by a hash, so that names without end leave
// nothing behind.
type zones map[string]int

func newZones(names []string) zones { return zones(numbers(names)) }

func (z zones) number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // never fails
	return len(z) + int(h.Sum32()>>1)
}

// servers turns entries into the module's. Its clock shows Unix time (see clock), so since_ms needs no shift.
func (z zones) servers(entries []endpoint) []logic.Server {
	out := make([]logic.Server, 0, len(entries))
	for _, e := range entries {
		s := logic.Server{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Group, Size: 1, Launched: e.SinceMs * 1000}
		switch e.Status {
		case statusServing:
			s.State = logic.Ready
		case statusDraining:
			s.State = logic.Draining
		}
		if e.Weight != nil {
			s.Size = *e.Weight
		}
		out = append(out, s)
	}
	return out
}
