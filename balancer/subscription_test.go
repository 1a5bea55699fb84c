package balancer

import "testing"

func TestSubscriptionRetriesAfterFailure(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 10*second
	b, h := newWithEndpoints(t, s, 2)
	if h.subscriptions != 1 {
		t.Fatalf("%d subscriptions after the first update, want 1", h.subscriptions)
	}
	b.UpdateEndpoints(testStart, h, FailedUpdate, nil)
	if len(h.timerTokens) != 1 {
		t.Fatalf("%d timers after a failure, want 1", len(h.timerTokens))
	}
	b.UpdateEndpoints(testStart, h, FailedUpdate, nil) // the poll fails as well
	if len(h.timerTokens) != 1 {
		t.Errorf("%d timers after a second failure without a new subscription, want 1", len(h.timerTokens))
	}
	b.TimerFired(testStart+second, h, h.timerTokens[0])
	b.TimerFired(testStart+second, h, h.timerTokens[0])
	if h.subscriptions != 2 {
		t.Errorf("%d subscriptions after the timer, want 2", h.subscriptions)
	}
}

// A long backoff would delay changes of the endpoint list.
func TestSubscriptionBackoffIsBounded(t *testing.T) {
	s := testSettings()
	s.SubscribeRequired, s.MaxPollInterval = true, 24*second
	b, h := newWithEndpoints(t, s, 2)
	for range 20 {
		h.timerDelays = nil
		b.UpdateEndpoints(testStart, h, FailedUpdate, nil)
		if len(h.timerDelays) != 1 || h.timerDelays[0] > 2*second {
			t.Fatalf("backoffs are %v, want a single one of at most 2 s", h.timerDelays)
		}
		b.TimerFired(testStart, h, timerToken{kind: subscribeTimer}.String())
	}
}
