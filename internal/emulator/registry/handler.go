package registry

import (
	"context"
	"net/http"
	"time"
)

// serveRequest responds to one request.
func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	c := connOf(ctx)
	if c.silent.Load() {
		c.waitForEnd(ctx)
		return
	}
	request, invalid := parseRequest(r)
	delay, rejected := s.observeArrival(c, request, invalid == nil)
	if invalid != nil {
		http.Error(w, invalid.Error(), invalid.status)
		return
	}
	if !c.sleep(ctx, delay) {
		return
	}
	if rejected || !s.waitForCapacity(ctx, c) {
		writeRejection(w, c)
		return
	}
	response := s.waitForResponse(ctx, c, request)
	if response == nil {
		c.waitForEnd(ctx)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response) // fails only if the client has gone
}

func writeRejection(w http.ResponseWriter, c *conn) {
	if r := c.metered.Load(); r != nil {
		r.usage.addRejected()
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// observeArrival counts a request and reports a valid one to OnRequest. It returns what the faults in force do to it.
func (s *Service) observeArrival(c *conn, request listRequest, valid bool) (delay time.Duration, rejected bool) {
	s.mu.Lock()
	if r := s.replicaFor(c); r != nil { // otherwise an agent that is silent
		r.usage.addRequest()
		rejected = valid && s.faults.rejectRatio > 0 && s.config.Random.Float64() < s.faults.rejectRatio
	}
	delay = s.faults.delay
	observation := Observation{
		Client:   c.client.location.Name,
		List:     c.client.list,
		At:       time.Now(),
		Complete: s.completeAt(c.client.list, request.fromVersion),
	}
	s.mu.Unlock()
	if valid && s.config.OnRequest != nil {
		s.config.OnRequest(observation)
	}
	return delay, rejected
}

// completeAt is the number of the change up to which a list is complete at a version of any replica, or Unknown.
func (s *Service) completeAt(list string, version int64) int64 {
	for _, r := range s.replicas {
		if complete := r.list(list).completeAt(version); complete != Unknown {
			return complete
		}
	}
	return Unknown
}

// waitForCapacity waits until the replica of a polled service has served the requests before this one. It returns false
// if the request is rejected.
func (s *Service) waitForCapacity(ctx context.Context, c *conn) bool {
	if !s.config.Poll {
		return true
	}
	s.mu.Lock()
	wait, ok := c.replica.reserveCapacity(time.Now(), s.config.QueueLimit)
	s.mu.Unlock()
	if ok {
		c.sleep(ctx, wait) // a client that leaves meanwhile gets no response
	}
	return ok
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	listRequest
	deadline     time.Time // the end of its hold time
	disconnected bool      // the agent reaches no replica, or reached none at the deadline
}

// wakeups are the events that may bring a response to a pending request, besides its deadline.
type wakeups struct{ listChanged, topologyChanged <-chan struct{} }

// waitForResponse returns the response to a request once there is one: a snapshot if the log does not cover its
// version, the changes since then, or no changes at the end of its hold time. It returns nil if the request gets no
// response.
func (s *Service) waitForResponse(ctx context.Context, c *conn, request listRequest) []byte {
	pending := &pendingRequest{listRequest: request, deadline: time.Now().Add(request.holdTime)}
	holdTimer := time.NewTimer(request.holdTime)
	defer holdTimer.Stop()
	defer s.endWatch(c)
	for ctx.Err() == nil && !c.silent.Load() {
		response, wake := s.responseNow(c, pending)
		if response != nil || pending.disconnected && !time.Now().Before(pending.deadline) {
			return response
		}
		select {
		case <-wake.listChanged:
		case <-wake.topologyChanged:
		case <-holdTimer.C:
		case <-ctx.Done():
		case <-c.ended:
			return nil
		}
	}
	return nil
}

// responseNow returns the response to a request if there is one now, and otherwise the events that may bring one.
func (s *Service) responseNow(c *conn, pending *pendingRequest) ([]byte, wakeups) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := !time.Now().Before(pending.deadline)
	r := s.replicaFor(c)
	if r == nil || pending.disconnected && expired {
		pending.disconnected = true
		return nil, wakeups{topologyChanged: s.topologyChanged}
	}
	pending.disconnected = false
	if response := r.response(c.client.list, pending.fromVersion, expired); response != nil {
		return response, wakeups{}
	}
	c.watching = true
	return nil, wakeups{listChanged: r.list(c.client.list).changed, topologyChanged: s.topologyChanged}
}

func (s *Service) endWatch(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.watching = false
}

// response returns the response to a request from a version, or nil if nothing has changed and its hold time has not
// expired.
func (r *replica) response(list string, fromVersion int64, expired bool) []byte {
	l := r.list(list)
	switch {
	case !l.covers(fromVersion):
		r.usage.addSnapshot()
		return l.encodeSnapshot()
	case fromVersion < l.version() || expired:
		return l.encodeChanges(fromVersion)
	default:
		return nil
	}
}
