package upstream

import (
	"slices"
	"sync"
	"time"
)

// Limits of hedged dials. initialHedgeDelay and maxHedgeDelay are the default and the maximum that RFC 8305 (Happy
// Eyeballs) recommends for the delay between connection attempts. minHedgeDelay is less than the minimum of 100 ms that it
// recommends, but more than the 10 ms that it requires at least.
const (
	connectTimeSamples = 32                     // kept per zone
	hedgeDelayFactor   = 4                      // a dial is hedged after this multiple of the median connect time
	initialHedgeDelay  = 250 * time.Millisecond // used while no connect time is known
	minHedgeDelay      = 30 * time.Millisecond
	maxHedgeDelay      = 2 * time.Second
	maxRacingDials     = 4 // dials of one attempt, the first included

	// Each hedge costs the endpoint a handshake, so a token bucket limits the number of hedges.
	hedgeTokensPerDial = 0.75 // added for the first dial of each race
	maxHedgeTokens     = 10.0
)

// hedgePolicy decides when a slow dial is hedged with another dial, and limits hedges to a fraction of the first dials
// of races. It is safe for concurrent use.
type hedgePolicy struct {
	mu     sync.Mutex // guards the fields below
	zones  map[string]*connectTimes
	tokens float64 // token bucket; a hedge takes one token
}

// connectTimes is a ring buffer of the latest connect times in one zone.
type connectTimes struct {
	samples []time.Duration
	oldest  int // index of the oldest sample once the ring is full
}

func newHedgePolicy() *hedgePolicy {
	return &hedgePolicy{zones: map[string]*connectTimes{}, tokens: maxHedgeTokens}
}

// beginRace adds the tokens for the first dial of a race, and returns the delay after which a pending dial in the zone is
// hedged.
func (h *hedgePolicy) beginRace(zone string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(maxHedgeTokens, h.tokens+hedgeTokensPerDial)
	times := h.zones[zone]
	if times == nil {
		return initialHedgeDelay
	}
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*times.median()))
}

// allow takes a token for one hedge, and reports whether there was one.
func (h *hedgePolicy) allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// observe records the connect time of a successful dial in a zone.
func (h *hedgePolicy) observe(zone string, connectTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.zones[zone]
	if times == nil {
		times = &connectTimes{}
		h.zones[zone] = times
	}
	times.add(connectTime)
}

func (t *connectTimes) add(connectTime time.Duration) {
	if len(t.samples) < connectTimeSamples {
		t.samples = append(t.samples, connectTime)
		return
	}
	t.samples[t.oldest] = connectTime
	t.oldest = (t.oldest + 1) % connectTimeSamples
}

// median returns the median connect time. Slow connects do not raise it as long as they are a minority.
func (t *connectTimes) median() time.Duration {
	sorted := slices.Sorted(slices.Values(t.samples))
	return sorted[len(sorted)/2]
}
