package balancer

import (
	"testing"
)

func TestSubscriptionRetriesAfterFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 10*second
	b, h := with(t, s, 2)
	if h.watch != 1 {
		t.Fatalf("watched %d times after the first list", h.watch)
	}
	b.UpdateEndpoints(start, h, FailedUpdate, nil)
	if len(h.timer) != 1 {
		t.Fatalf("%d timers after a failure", len(h.timer))
	}
	b.UpdateEndpoints(start, h, FailedUpdate, nil) // the broken subscription and the failed call are told one by one
	if len(h.timer) != 1 {
		t.Errorf("%d timers after the same failure was told twice", len(h.timer))
	}
	b.TimerFired(start+second, h, h.timer[0])
	b.TimerFired(start+second, h, h.timer[0])
	if h.watch != 2 {
		t.Errorf("watched %d times after the timer", h.watch)
	}
}

// TestSubscriptionBackoffIsBounded fails many subscriptions in a row: a long backoff would delay changes of the list.
func TestSubscriptionBackoffIsBounded(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 24*second
	b, h := with(t, s, 2)
	for range 20 {
		h.delays = nil
		b.UpdateEndpoints(start, h, FailedUpdate, nil)
		if len(h.delays) != 1 || h.delays[0] > 2*second {
			t.Fatalf("rests %v", h.delays)
		}
		b.TimerFired(start, h, timerToken{kind: subscribeTimer}.String())
	}
}
