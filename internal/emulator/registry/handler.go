package registry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"baylock/internal/discovery"
)

// maxHold is the longest that a watch may wait.
const maxHold = 60 * time.Second

// call is one call of a client.
type call struct {
	from int64         // the version that it has, or discovery.NoVersion
	hold time.Duration // how long it may wait for something newer
}

// serveCall answers one call.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, c := r.Context(), connOf(r.Context())
	if c.silent.Load() {
		c.awaitEnd(ctx)
		return
	}
	asked, status, err := parseCall(r)
	delay, refused := s.arrive(c, asked, err == nil)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if !c.sleep(ctx, delay) {
		return
	}
	if refused || !s.awaitTurn(ctx, c) {
		refuse(w, c)
		return
	}
	answer := s.awaitAnswer(ctx, c, asked)
	if answer == nil {
		c.awaitEnd(ctx)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // fails only if the client has gone
}

func refuse(w http.ResponseWriter, c *conn) {
	if r := c.countedBy.Load(); r != nil {
		r.usage.addRefused()
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// parseCall reads a call. Where it makes no sense, it gives the status to answer with.
func parseCall(r *http.Request) (call, int, error) {
	if r.URL.Path != discovery.MembersPath {
		return call{}, http.StatusNotFound, errors.New("no such path")
	}
	if r.Method != http.MethodGet {
		return call{}, http.StatusMethodNotAllowed, errors.New("only GET is served")
	}
	if r.ContentLength != 0 {
		return call{}, http.StatusBadRequest, errors.New("a call has no body")
	}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return call{}, http.StatusBadRequest, err
	}
	asked, err := parseQuery(query)
	return asked, http.StatusBadRequest, err
}

func parseQuery(query url.Values) (call, error) {
	from, hold := query[discovery.FromQuery], query[discovery.HoldQuery]
	if len(from) > 1 || len(hold) > 1 {
		return call{}, errors.New(discovery.FromQuery + " or " + discovery.HoldQuery + " is given twice")
	}
	if len(from) == 0 && len(hold) == 1 {
		return call{}, errors.New(discovery.HoldQuery + " needs " + discovery.FromQuery)
	}
	asked := call{from: discovery.NoVersion}
	if len(from) == 1 {
		version, err := strconv.ParseUint(from[0], 10, 63)
		if err != nil {
			return call{}, errors.New(discovery.FromQuery + " is no version")
		}
		asked.from = int64(version)
	}
	if len(hold) == 1 {
		milliseconds, err := strconv.ParseUint(hold[0], 10, 63)
		if err != nil {
			return call{}, errors.New(discovery.HoldQuery + " is no whole number of milliseconds")
		}
		asked.hold = time.Duration(min(milliseconds, uint64(maxHold.Milliseconds()))) * time.Millisecond
	}
	return asked, nil
}

// arrive counts a call, tells the observer of it, and gives what the faults in force do to it.
func (s *Service) arrive(c *conn, asked call, valid bool) (delay time.Duration, refused bool) {
	s.mu.Lock()
	if r := s.replicaFor(c); r != nil { // else an agent that stays silent
		r.usage.addCall()
		refused = valid && s.faults.refused > 0 && s.config.Random.Float64() < s.faults.refused
	}
	delay = s.faults.delay
	observation := Observation{Client: c.client.at.Name, List: c.client.list, At: time.Now(),
		Complete: s.completeAt(c.client.list, asked.from)}
	s.mu.Unlock()
	if valid && s.config.Observe != nil {
		s.config.Observe(observation)
	}
	return delay, refused
}

// completeAt is the number up to which a list is complete at a version, whichever replica gave it.
func (s *Service) completeAt(list string, version int64) int64 {
	for _, r := range s.replicas {
		if complete := r.list(list).completeAt(version); complete != NothingKnown {
			return complete
		}
	}
	return NothingKnown
}

// awaitTurn waits until a call's turn has come where calls wait in turn, and returns false if it is refused.
func (s *Service) awaitTurn(ctx context.Context, c *conn) bool {
	if !s.config.Ask {
		return true
	}
	s.mu.Lock()
	wait, ok := c.replica.takeTurn(time.Now(), s.config.QueueLimit)
	s.mu.Unlock()
	if ok {
		c.sleep(ctx, wait) // whoever has gone meanwhile hears no answer
	}
	return ok
}

// pending is a call that waits for its answer.
type pending struct {
	call
	deadline time.Time // when it has waited long enough
	detached bool      // the agent reaches no replica, or reached none when the wait was over
}

// wakeups are what a pending call waits for, besides its deadline.
type wakeups struct{ changed, topology <-chan struct{} }

// awaitAnswer gives the answer to a call once there is one: the whole list where its version is none of this log, or
// what is newer, or nothing new after its wait. It gives nil if the call stays without an answer.
func (s *Service) awaitAnswer(ctx context.Context, c *conn, asked call) []byte {
	p := &pending{call: asked, deadline: time.Now().Add(asked.hold)}
	timeout := time.NewTimer(asked.hold)
	defer timeout.Stop()
	defer s.endWatch(c)
	for ctx.Err() == nil && !c.silent.Load() {
		answer, wake := s.tryAnswer(c, p)
		if answer != nil || p.detached && !time.Now().Before(p.deadline) {
			return answer
		}
		select {
		case <-wake.changed:
		case <-wake.topology:
		case <-timeout.C:
		case <-ctx.Done():
		case <-c.ended:
			return nil
		}
	}
	return nil
}

// tryAnswer gives the answer to a call if there is one now, and otherwise what may bring one.
func (s *Service) tryAnswer(c *conn, p *pending) ([]byte, wakeups) {
	s.mu.Lock()
	defer s.mu.Unlock()
	over := !time.Now().Before(p.deadline)
	r := s.replicaFor(c)
	if r == nil || p.detached && over {
		p.detached = true
		return nil, wakeups{topology: s.topology}
	}
	p.detached = false
	if answer := r.answer(c.client.list, p.from, over); answer != nil {
		return answer, wakeups{}
	}
	c.watching = true
	return nil, wakeups{changed: r.list(c.client.list).changed, topology: s.topology}
}

func (s *Service) endWatch(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.watching = false
}

// answer gives what a call from a version is told now, or nil if there is nothing new and it may wait.
func (r *replica) answer(list string, from int64, over bool) []byte {
	l := r.list(list)
	switch {
	case !l.covers(from):
		r.usage.addWholeList()
		return l.encodeWhole()
	case from < l.version() || over:
		return l.encodeChanges(from)
	default:
		return nil
	}
}
