package balancer

import "slices"

// keyQueue orders the requests with one key: each starts when the one before it has ended.
type keyQueue struct {
	key           string
	waiting       []*request   // in order of arrival; the first may have been sent
	cooldownUntil Microseconds // an attempt may still be running until then
}

// keyQueues holds the queues of all keys that have waiting requests or a cooldown.
type keyQueues map[string]*keyQueue

// join puts a request last in its key's queue.
func (q keyQueues) join(req *request) {
	queue := q[req.Key]
	if queue == nil {
		queue = &keyQueue{key: req.Key}
		q[req.Key] = queue
	}
	queue.waiting = append(queue.waiting, req)
	req.queue = queue
}

// prune forgets a key without waiting requests and cooldown.
func (q keyQueues) prune(now Microseconds, queue *keyQueue) {
	if len(queue.waiting) == 0 && now >= queue.cooldownUntil {
		delete(q, queue.key)
	}
}

// leave removes a request from its queue.
func (q *keyQueue) leave(req *request) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *request) bool { return x == req })
}

// enqueue starts a request that must keep its key's order, or has it wait for no longer than it can still be
// answered in time. It rejects one whose wait would take longer, which also bounds the queue.
func (b *Balancer) enqueue(now Microseconds, host Host, req *request) {
	b.keyQueues.join(req)
	b.advanceQueue(now, host, req.queue)
	if len(req.attempts) > 0 || req.done {
		return
	}
	latency := req.classState.latency.mean
	remaining := float64(req.deadline(b.settings)-now) - minRemainingMeans*latency
	if float64(len(req.queue.waiting)-1)*latency > remaining {
		b.reject(now, host, req)
		return
	}
	host.SetTimer(max(Microseconds(remaining), 0), timerToken{kind: expiryTimer, subject: req.ID}.String())
}

// advanceQueue starts the queue's first request unless the key is in its cooldown.
func (b *Balancer) advanceQueue(now Microseconds, host Host, queue *keyQueue) {
	for len(queue.waiting) > 0 && len(queue.waiting[0].attempts) == 0 && now >= queue.cooldownUntil {
		b.start(now, host, queue.waiting[0])
	}
	b.keyQueues.prune(now, queue)
}

// coolDown pauses a request's key after an attempt that may still be running.
func (b *Balancer) coolDown(now Microseconds, host Host, req *request, a *attempt) {
	cooldown := a.settings.OrderedKeyCooldown
	req.queue.cooldownUntil = max(req.queue.cooldownUntil, now+cooldown)
	host.SetTimer(cooldown, timerToken{kind: cooldownTimer, subject: req.Key}.String())
}

// mayStillRun reports whether an endpoint may go on with an attempt that ended so.
func (s Status) mayStillRun() bool { return s == TimedOut || s == Reset || s == Cancelled }
