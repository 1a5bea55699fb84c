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

// Ready implements downstream.Dispatcher: there is an endpoint list.
func (l *eventLoop) Ready() bool {
	select {
	case <-l.listed:
		return true
	default:
		return false
	}
}

// Settings implements downstream.Dispatcher.
func (l *eventLoop) Settings() downstream.Settings { return l.settings.Load() }

// adopt makes a request, which may have been parsed under earlier settings, fit those in force. It reports false where its
// class is gone or has another idempotency; nothing of it has been sent then, and its client may retry.
func adopt(r *downstream.Request, snapshot *config.Snapshot) bool {
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
