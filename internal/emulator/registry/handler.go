package registry

import (
	"context"
	"net/http"
	"time"
)

// serveRequest handles one HTTP request.
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
	if r := c.usageReplica.Load(); r != nil {
		r.usage.addRejected()
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// observeArrival counts a request and reports it to OnRequest if it is valid. It returns the delay that the active
// faults add to the request, and whether they reject it.
func (s *Service) observeArrival(c *conn, request listRequest, valid bool) (delay time.Duration, rejected bool) {
	s.mu.Lock()
	if r := s.replicaFor(c); r != nil { // nil: the agent cannot reach a replica, or the polled replica is down
		r.usage.addRequest()
		rejected = valid && s.faults.rejectRatio > 0 && s.config.Random.Float64() < s.faults.rejectRatio
	}
	delay = s.faults.delay
	observation := Observation{
		Client:          c.client.location.Name,
		List:            c.client.list,
		At:              time.Now(),
		CompleteThrough: s.completeThroughAt(c.client.list, request.fromVersion),
	}
	s.mu.Unlock()
	if valid && s.config.OnRequest != nil {
		s.config.OnRequest(observation)
	}
	return delay, rejected
}

// completeThroughAt returns the change number up to which a list is complete at a version of any replica, or Unknown if
// no replica's log covers the version.
func (s *Service) completeThroughAt(list string, version int64) int64 {
	for _, r := range s.replicas {
		if number := r.list(list).completeThroughAt(version); number != Unknown {
			return number
		}
	}
	return Unknown
}

// waitForCapacity waits until the connection's replica has served this request and all requests queued before it. It
// returns false if the request is rejected because the queue is too long. Agents have no capacity limit.
func (s *Service) waitForCapacity(ctx context.Context, c *conn) bool {
	if !s.config.Poll {
		return true
	}
	s.mu.Lock()
	wait, ok := c.replica.reserveCapacity(time.Now(), s.config.QueueLimit)
	s.mu.Unlock()
	if ok {
		c.sleep(ctx, wait) // a client that disconnects meanwhile gets no response
	}
	return ok
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	listRequest
	deadline     time.Time // end of the hold time
	disconnected bool      // the agent cannot reach a replica, or could not at the deadline
}

// wakeups are the events, besides its deadline, after which a pending request may get a response.
type wakeups struct{ listChanged, topologyChanged <-chan struct{} }

// waitForResponse waits for the response to a request: a snapshot if the log does not cover its version, otherwise the
// changes since that version, or an empty list of changes when the hold time expires. It returns nil if the request
// gets no response.
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

// responseNow returns the response to a request if it is available, and otherwise the events to wait for.
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

// response returns the response to a request for the changes since a version, or nil if nothing has changed and the
// hold time has not expired.
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
