package balancer

import "math/rand/v2"

const (
	initialSubscribeBackoff = second / 4
	maxSubscribeBackoff     = second // a longer backoff would delay changes of the endpoint list
)

// subscription keeps one subscription to the endpoint list open.
type subscription struct {
	requested bool         // Host.Subscribe was called and has not failed since
	backoff   Microseconds // minimum delay before the next retry
}

// open requests the subscription unless it is already requested.
func (s *subscription) open(host Host) {
	if s.requested {
		return
	}
	s.requested = true
	host.Subscribe()
}

// fail handles a failed subscription or poll: it schedules a retry after a backoff with jitter. If no
// subscription is requested it does nothing, because a retry is already scheduled.
func (s *subscription) fail(host Host, random *rand.Rand) {
	if !s.requested {
		return
	}
	delay := s.backoff + Microseconds(random.Int64N(int64(s.backoff)))
	host.SetTimer(delay, timerToken{kind: subscribeTimer}.String())
	s.backoff = min(2*s.backoff, maxSubscribeBackoff)
	s.requested = false
}

// resetBackoff resets the backoff after a successful update of the endpoint list.
func (s *subscription) resetBackoff() { s.backoff = initialSubscribeBackoff }
