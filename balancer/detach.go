package balancer

// Detach takes an endpoint out of use until Attach, for operators. What is in flight goes on. Updates of the
// endpoint list do not end it, and the list need not name the endpoint.
func (b *Balancer) Detach(id string) {
	b.endpoints.detached[id] = true
	b.endpoints.refresh()
}

// Attach ends Detach. The endpoint may have restarted unnoticed, so it counts as one that starts now. An
// endpoint that is not detached stays as it is.
func (b *Balancer) Attach(now Microseconds, id string) {
	b.endpoints.attach(now, id)
	b.endpoints.refresh()
}

// attach lets a detached endpoint serve again.
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
