package balancer

import "math/rand/v2"

const (
	initialSubscribeBackoff = second / 4
	maxSubscribeBackoff     = second // a longer one would delay changes of the list
)

// subscription keeps one subscription to the endpoint list open.
type subscription struct {
	requested bool
	backoff   Microseconds // before the next try
}

// open requests the subscription unless that has been done.
func (s *subscription) open(host Host) {
	if s.requested {
		return
	}
	s.requested = true
	host.Subscribe()
}

// fail takes the failure of a subscription or a poll. A retry follows after a backoff with jitter. Without a
// requested subscription it does nothing: the retry is due already.
func (s *subscription) fail(host Host, random *rand.Rand) {
	if !s.requested {
		return
	}
	delay := s.backoff + Microseconds(random.Int64N(int64(s.backoff)))
	host.SetTimer(delay, timerToken{kind: subscribeTimer}.String())
	s.backoff = min(2*s.backoff, maxSubscribeBackoff)
	s.requested = false
}

// resetBackoff takes a success.
func (s *subscription) resetBackoff() { s.backoff = initialSubscribeBackoff }
