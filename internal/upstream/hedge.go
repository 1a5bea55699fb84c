package upstream

import (
	"slices"
	"sync"
	"time"
)

// Limits of hedged dials. The delays are those that RFC 8305 gives for racing connections.
const (
	connectTimeSamples = 32                     // of a zone
	hedgeDelayFactor   = 4                      // a dial is late after so many median connect times
	initialHedgeDelay  = 250 * time.Millisecond // while no connect time is known
	minHedgeDelay      = 30 * time.Millisecond
	maxHedgeDelay      = 2 * time.Second
	maxRacingDials     = 4 // of one attempt

	// Each hedge costs its endpoint a handshake, so a token bucket limits them.
	hedgeTokensPerDial = 0.75 // for each first dial
	maxHedgeTokens     = 10.0
)

// hedgePolicy decides when a late dial is hedged by another one, and limits hedges to a part of all dials. It is safe
// for concurrent use.
type hedgePolicy struct {
	mu     sync.Mutex // guards the fields below
	zones  map[string]*connectTimes
	tokens float64 // each allows one hedge
}

// connectTimes is a ring of the latest connect times of one zone.
type connectTimes struct {
	samples []time.Duration
	oldest  int // index, once the ring is full
}

func newHedgePolicy() *hedgePolicy {
	return &hedgePolicy{zones: map[string]*connectTimes{}, tokens: maxHedgeTokens}
}

// begin counts the first dial of a race in a zone and returns the delay after which a dial is late.
func (h *hedgePolicy) begin(zone string) time.Duration {
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

// median returns the usual connect time. Late connections do not move it while they are the smaller part.
func (t *connectTimes) median() time.Duration {
	sorted := slices.Sorted(slices.Values(t.samples))
	return sorted[len(sorted)/2]
}
