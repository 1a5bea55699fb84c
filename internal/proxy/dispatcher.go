package proxy

import (
	"baylock/internal/config"
	"baylock/internal/downstream"
)

// Submit implements downstream.Dispatcher.
func (l *eventLoop) Submit(r *downstream.Request) { l.post(requestSubmitted{r}) }

// Cancel implements downstream.Dispatcher.
func (l *eventLoop) Cancel(r *downstream.Request) { l.post(requestCanceled{r}) }

// Done implements downstream.Dispatcher.
func (l *eventLoop) Done() <-chan struct{} { return l.done }

// Ready implements downstream.Dispatcher. It reports whether an endpoint list has been received.
func (l *eventLoop) Ready() bool { return isClosed(l.endpointListReady) }

// Settings implements downstream.Dispatcher.
func (l *eventLoop) Settings() downstream.Settings { return l.settings.Load() }

// revalidate updates the class and tenant indices of a request, which may have been parsed under earlier settings, to the
// settings in force. It returns false if the request's class no longer exists or its idempotency has changed. No part of
// the request has been sent by then, so the client may safely retry it.
func revalidate(r *downstream.Request, snapshot *config.Snapshot) bool {
	class, index, ok := snapshot.Class(r.ClassName)
	if !ok || class.Idempotency != r.Idempotency {
		return false
	}
	r.Class = index
	if r.Tenant != config.NoTenant {
		r.Tenant = snapshot.TenantIndex(r.TenantName)
	}
	return true
}
