package balancer

import "slices"

// keyQueue serializes the requests with one key: each request starts after the previous one has ended.
type keyQueue struct {
	key           string
	requests      []*request   // in order of arrival; the first may have been sent, the others wait
	cooldownUntil Microseconds // an attempt may still be running until then
}

// keyQueues holds the queues of all keys that have requests or a cooldown, by key.
type keyQueues map[string]*keyQueue

// join appends a request to the queue of its key.
func (q keyQueues) join(req *request) {
	queue := q[req.Key]
	if queue == nil {
		queue = &keyQueue{key: req.Key}
		q[req.Key] = queue
	}
	queue.requests = append(queue.requests, req)
	req.queue = queue
}

// prune removes a queue that has neither requests nor a cooldown.
func (q keyQueues) prune(now Microseconds, queue *keyQueue) {
	if len(queue.requests) == 0 && now >= queue.cooldownUntil {
		delete(q, queue.key)
	}
}

// leave removes a request from its queue.
func (q *keyQueue) leave(req *request) {
	q.requests = slices.DeleteFunc(q.requests, func(x *request) bool { return x == req })
}

// enqueue adds a request to the queue of its key, and starts it if it is first and the key is not in
// cooldown. Otherwise the request waits, but only as long as it can still be answered in time. A request that
// is expected to wait longer is rejected, which also bounds the queue.
func (b *Balancer) enqueue(now Microseconds, host Host, req *request) {
	b.keyQueues.join(req)
	b.advanceQueue(now, host, req.queue)
	if len(req.attempts) > 0 || req.done {
		return
	}
	latency := req.classState.latency.mean
	remaining := float64(req.deadline(b.settings)-now) - minRemainingMeanLatencies*latency
	if float64(len(req.queue.requests)-1)*latency > remaining {
		b.reject(now, host, req)
		return
	}
	host.SetTimer(max(Microseconds(remaining), 0), timerToken{kind: expiryTimer, subject: req.ID}.String())
}

// advanceQueue starts the first request in the queue, unless it has been sent already or the key is in
// cooldown.
func (b *Balancer) advanceQueue(now Microseconds, host Host, queue *keyQueue) {
	for len(queue.requests) > 0 && len(queue.requests[0].attempts) == 0 && now >= queue.cooldownUntil {
		b.start(now, host, queue.requests[0])
	}
	b.keyQueues.prune(now, queue)
}

// startCooldown pauses the key of a request after an attempt that may still be running.
func (b *Balancer) startCooldown(now Microseconds, host Host, req *request, a *attempt) {
	cooldown := a.settings.OrderedKeyCooldown
	req.queue.cooldownUntil = max(req.queue.cooldownUntil, now+cooldown)
	host.SetTimer(cooldown, timerToken{kind: cooldownTimer, subject: req.Key}.String())
}

// mayStillRun reports whether an endpoint may still be processing an attempt that ended with this status.
func (s Status) mayStillRun() bool { return s == TimedOut || s == Reset || s == Cancelled }
