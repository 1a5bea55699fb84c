package balancer

// Detach lets operators take an endpoint out of use until they call Attach. Attempts in flight continue.
// Updates of the endpoint list do not end the detachment, and the endpoint need not be listed.
func (b *Balancer) Detach(id string) {
	b.endpoints.detached[id] = true
	b.endpoints.refresh()
}

// Attach puts a detached endpoint back into use. The endpoint may have restarted unnoticed, so it is treated
// as one that starts now. Attach has no effect on an endpoint that is not detached.
func (b *Balancer) Attach(now Microseconds, id string) {
	b.endpoints.attach(now, id)
	b.endpoints.refresh()
}

// attach removes an endpoint from the detached ones and resets its learned state.
func (l *endpointList) attach(now Microseconds, id string) {
	if !l.detached[id] {
		return
	}
	delete(l.detached, id)
	ep := l.byID[id]
	if ep == nil {
		l.attachedUnlisted[id] = now
		return
	}
	ep.reset(l.classSlots)
	ep.attachedAt, ep.reintroductionPending = now, true
}
