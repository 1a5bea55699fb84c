package balancer

import "math/rand/v2"

// Balancer makes the load-balancing decisions of one proxy. It is not safe for concurrent use; see the
// package comment.
type Balancer struct {
	settings     *Settings // never modified in place: Reconfigure replaces it
	random       *rand.Rand
	endpoints    endpointList
	subscription subscription
	requests     map[string]*request // by ID
	keyQueues    keyQueues
	tierLimit    concurrencyLimit // limits the calls to all endpoints together
	quotas       tenantQuotas
	classes      []*classState // in the order of the settings
	retries      retryBudget
	outliers     outlierDetector
	zones        zonePreference
	subset       subsetSizer
	picker       picker
	reporter     reporter
}

// New returns a Balancer for the settings. The seed initializes its random number generator. New returns a
// *FieldError if a setting is out of range.
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

// UpdateEndpoints applies an update of the endpoint list. An endpoint that is draining or removed gets no
// further attempts. When the StartedAt of an endpoint changes, everything that was learned about the endpoint
// is discarded.
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

// HandleRequest handles the arrival of a request and sends or rejects it immediately. The exception is a
// request that must wait for earlier requests with the same key: it is queued, but only as long as it can
// still be answered in time. A request of an unknown class fails, and a request whose ID is already known is
// ignored.
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

// start sends the first attempt of a request. It rejects the request if an admission rule rejects it, if too
// little time remains, or if no endpoint is available.
func (b *Balancer) start(now Microseconds, host Host, req *request) {
	if !b.admits(now, req) || !req.canFinishInTime(now, b.settings) || !b.send(now, host, req) {
		b.reject(now, host, req)
		return
	}
	if req.quota != nil {
		req.quota.admitted.add(now)
	}
}

// send picks an endpoint and sends an attempt to it. It returns false if no endpoint is available.
func (b *Balancer) send(now Microseconds, host Host, req *request) bool {
	ep := b.pickEndpoint(now, req)
	if ep == nil {
		return false
	}
	dedupDeadline := req.dedupDeadline() // depends on the earlier attempts only
	a := &attempt{
		endpoint:       ep,
		zone:           ep.Zone,
		cell:           ep.Cell,
		settings:       b.settings,
		class:          req.class,
		decidedAt:      now,
		sentAt:         now,
		outstanding:    true,
		possiblyRan:    true,
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

// countInFlight counts an attempt as a call in flight, which begins when the endpoint can have the complete
// request and start processing it.
func (b *Balancer) countInFlight(req *request, a *attempt) {
	if b.settings.Tier == 0 {
		req.classState.notYetSlow = append(req.classState.notYetSlow, a)
	}
	b.tierLimit.acquire()
	req.classState.limit.acquire()
	a.countedInFlight = true
}

// RequestUploaded handles the end of a streamed request's upload; deadline is the time at which the client
// gives up. Latency is measured from here, because the time that the client takes to write the body says
// nothing about endpoints.
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

// ResponseStarted handles the start of a streamed response. The client is already receiving this response, so
// the request is no longer retried, rejected or failed.
func (b *Balancer) ResponseStarted(_ Microseconds, id string) {
	if req := b.requests[id]; req != nil {
		req.done = true
	}
}

// CancelRequest handles the cancellation of a request by its client.
func (b *Balancer) CancelRequest(now Microseconds, host Host, id string) {
	if req := b.requests[id]; req != nil {
		b.finish(now, host, req)
	}
}

// HandleOutcome handles the end of an attempt. If the client is still waiting and no other attempt is
// outstanding, the request is retried, rejected or failed immediately. Outcomes of attempts that are not
// outstanding are ignored.
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
	b.recordOutcome(now, req, a, o)
	b.report(now, host)
	if req.queue != nil && o.Status.mayStillRun() {
		b.startCooldown(now, host, req, a)
	}
	switch {
	case o.RequestDone || req.done:
		b.finish(now, host, req)
	case req.outstanding > 0:
	case !o.BodyConsumed && !o.Undeliverable && b.retry(now, host, req):
	case b.mayReject(now, req):
		b.reject(now, host, req)
	default:
		host.Fail(req.ID)
		b.finish(now, host, req)
	}
}

// endAttempt marks an attempt as ended and removes it from the outstanding and in-flight counts.
func (b *Balancer) endAttempt(req *request, a *attempt, status Status) {
	neverSent := status == ConnectFailed || status == NotAttempted
	a.outstanding = false
	a.possiblyRan = !neverSent && (status != Rejected || a.settings.RejectedMayRun)
	if a.reintroduction && neverSent {
		a.endpoint.reintroductionPending = true
	}
	a.endpoint.inFlight--
	req.outstanding--
	if a.countedInFlight {
		b.tierLimit.release()
		req.classState.limit.release()
	}
}

// reject rejects a request. Retry-After is random, between half of its maximum and the maximum, so that
// clients do not all retry at the same time.
func (b *Balancer) reject(now Microseconds, host Host, req *request) {
	longest := b.settings.maxRetryAfter(req.class)
	host.Reject(req.ID, longest/2+Microseconds(b.random.Int64N(int64(longest/2+1))))
	b.finish(now, host, req)
}

// finish marks a request as done. Once all attempts of the request have ended, finish removes it and starts
// the next request with the same key.
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

// TimerFired handles a timer that was set with Host.SetTimer. A timer that is no longer needed is ignored.
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
