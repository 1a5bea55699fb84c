package balancer

import "math/rand/v2"

// Balancer decides for one proxy. It is not safe for concurrent use; see the package comment.
type Balancer struct {
	settings     *Settings // in force; never modified, but replaced by Reconfigure
	random       *rand.Rand
	endpoints    endpointList
	subscription subscription
	requests     map[string]*request // by ID
	keyQueues    keyQueues
	tierLimit    concurrencyLimit // of calls to all endpoints
	quotas       tenantQuotas
	classes      []*classState // in the order of the settings
	retries      retryBudget
	outliers     outlierDetector
	zones        zonePreference
	subset       subsetSizer
	picker       picker
	reporter     reporter
}

// New returns a Balancer for the settings. All its random draws come from the seed. It returns a *FieldError
// for settings that are out of range.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:     &Settings{},
		random:       rand.New(rand.NewPCG(seed, seed)),
		endpoints:    newEndpointList(),
		subscription: subscription{backoff: initialSubscribeBackoff},
		requests:     map[string]*request{},
		keyQueues:    keyQueues{},
		tierLimit:    concurrencyLimit{max: initialLimit},
		quotas:       newTenantQuotas(s.Tier),
		zones:        newZonePreference(s.Tier),
	}
	b.configure(s)
	return b, nil
}

// UpdateEndpoints applies an update of the endpoint list. An endpoint that is draining or removed gets
// nothing from now on, and one whose StartedAt has changed is learned anew.
func (b *Balancer) UpdateEndpoints(_ Microseconds, host Host, kind UpdateKind, entries []Endpoint) {
	if kind == FailedUpdate {
		b.subscription.fail(host, b.random)
		return
	}
	b.endpoints.update(kind, entries)
	if b.settings.SubscribeRequired {
		b.subscription.open(host)
	}
	b.subscription.resetBackoff()
}

// HandleRequest handles the arrival of a request: it sends or rejects it at once. Only a request that must
// wait for its key's order stays unsent, and no longer than it can still be answered in time. A request of an
// unknown class fails; one whose ID is known already is ignored.
func (b *Balancer) HandleRequest(now Microseconds, host Host, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.classes) {
		host.Fail(r.ID)
		return
	}
	b.countSlowAttempts(now)
	b.retries.recordRequest(now, b.settings)
	req := &request{
		Request:    r,
		class:      &b.settings.Classes[r.Class],
		classState: b.classes[r.Class],
		quota:      b.quotas.recordArrival(now, r.Tenant),
		arrivedAt:  now,
	}
	b.requests[r.ID] = req
	if r.Key != "" && req.class.OrderedByKey {
		b.enqueue(now, host, req)
	} else {
		b.start(now, host, req)
	}
}

// start checks the rules and sends a request's first attempt, or rejects it.
func (b *Balancer) start(now Microseconds, host Host, req *request) {
	if !b.admits(now, req) || !req.canFinishInTime(now, b.settings) || !b.send(now, host, req) {
		b.reject(now, host, req)
		return
	}
	if req.quota != nil {
		req.quota.admitted.add(now)
	}
}

// send draws an endpoint and sends an attempt there; it returns false if there is none to send to.
func (b *Balancer) send(now Microseconds, host Host, req *request) bool {
	ep := b.pickEndpoint(now, req)
	if ep == nil {
		return false
	}
	dedupDeadline := req.dedupDeadline() // of the earlier attempts
	a := &attempt{
		endpoint:       ep,
		zone:           ep.Zone,
		cell:           ep.Cell,
		settings:       b.settings,
		class:          req.class,
		decidedAt:      now,
		sentAt:         now,
		outstanding:    true,
		mayRun:         true,
		reintroduction: ep.reintroductionPending,
	}
	ep.reintroductionPending = false
	ep.inFlight++
	req.attempts = append(req.attempts, a)
	req.outstanding++
	b.subset.recordAttempt(now)
	if !req.Streaming {
		b.countInFlight(req, a)
	}
	host.Send(req.ID, ep.ID, b.attemptTimeout(now, req), dedupDeadline)
	return true
}

// countInFlight counts an attempt as a call in flight: its endpoint has all of it and may begin.
func (b *Balancer) countInFlight(req *request, a *attempt) {
	if b.settings.Tier == 0 {
		req.classState.notYetSlow = append(req.classState.notYetSlow, a)
	}
	b.tierLimit.acquire()
	req.classState.limit.acquire()
	a.inFlight = true
}

// RequestUploaded handles the end of a streamed request's upload; deadline is when its client abandons it.
// Latency counts from here: the time that the client took to write the body shows nothing of endpoints.
func (b *Balancer) RequestUploaded(now Microseconds, id string, deadline Microseconds) {
	req := b.requests[id]
	if req == nil || !req.Streaming || len(req.attempts) == 0 {
		return
	}
	req.Streaming, req.arrivedAt, req.Deadline = false, now, deadline
	if a := req.attempts[len(req.attempts)-1]; a.outstanding {
		a.sentAt = now
		b.countInFlight(req, a)
	}
}

// ResponseStarted handles the start of a streamed response. The client gets that attempt's response, so the
// request is not retried.
func (b *Balancer) ResponseStarted(_ Microseconds, id string) {
	if req := b.requests[id]; req != nil {
		req.done = true
	}
}

// CancelRequest handles a client that no longer waits for its request.
func (b *Balancer) CancelRequest(now Microseconds, host Host, id string) {
	if req := b.requests[id]; req != nil {
		b.finish(now, host, req)
	}
}

// HandleOutcome handles the end of an attempt. Where the client still waits, the request is retried, rejected
// or failed at once. Outcomes of attempts that are not outstanding are ignored.
func (b *Balancer) HandleOutcome(now Microseconds, host Host, o Outcome) {
	req := b.requests[o.ID]
	if req == nil {
		return
	}
	a := req.outstandingAttempt(o.Attempt)
	if a == nil {
		return
	}
	b.countSlowAttempts(now)
	b.endAttempt(req, a, o.Status)
	b.learn(now, req, a, o)
	b.report(now, host)
	if req.queue != nil && o.Status.mayStillRun() {
		b.coolDown(now, host, req, a)
	}
	switch {
	case o.RequestDone || req.done:
		b.finish(now, host, req)
	case req.outstanding > 0:
	case !o.BodyConsumed && b.retry(now, host, req):
	case b.mayReject(now, req):
		b.reject(now, host, req)
	default:
		host.Fail(req.ID)
		b.finish(now, host, req)
	}
}

// endAttempt takes an attempt out of what is outstanding and in flight.
func (b *Balancer) endAttempt(req *request, a *attempt, status Status) {
	neverSent := status == ConnectFailed || status == NotAttempted
	a.outstanding = false
	a.mayRun = !neverSent && (status != Rejected || a.settings.RejectedMayRun)
	if a.reintroduction && neverSent {
		a.endpoint.reintroductionPending = true
	}
	a.endpoint.inFlight--
	req.outstanding--
	if a.inFlight {
		b.tierLimit.release()
		req.classState.limit.release()
	}
}

// reject ends a request unserved. Retry-After is spread, so that clients do not return together.
func (b *Balancer) reject(now Microseconds, host Host, req *request) {
	longest := b.settings.maxRetryAfter(req.class)
	host.Reject(req.ID, longest/2+Microseconds(b.random.Int64N(int64(longest/2+1))))
	b.finish(now, host, req)
}

// finish marks a request as done. Once all its attempts have ended it forgets the request and starts the next
// one with its key.
func (b *Balancer) finish(now Microseconds, host Host, req *request) {
	req.done = true
	if req.outstanding > 0 {
		return
	}
	delete(b.requests, req.ID)
	if req.queue != nil {
		req.queue.leave(req)
		b.advanceQueue(now, host, req.queue)
	}
}

// TimerFired handles a timer that was set by Host.SetTimer. Timers that are no longer needed are ignored.
func (b *Balancer) TimerFired(now Microseconds, host Host, token string) {
	switch t := parseTimerToken(token); t.kind {
	case subscribeTimer:
		b.subscription.open(host)
	case expiryTimer:
		if req := b.requests[t.subject]; req != nil && !req.done && len(req.attempts) == 0 {
			b.reject(now, host, req)
		}
	case cooldownTimer:
		if queue := b.keyQueues[t.subject]; queue != nil {
			b.advanceQueue(now, host, queue)
		}
	}
}
