package discovery

import (
	"testing"
	"time"
)

// Proxies that lose the service at the same time must not all retry together.
func TestJitterSpreadsBackoff(t *testing.T) {
	c := NewClient(Options{})
	longest := agentPolicy.maxBackoff
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := c.jitter(longest)
		if seen[wait] = true; wait < longest/2 || wait > longest {
			t.Fatalf("got a backoff of %v, which is not in the upper half of maxBackoff", wait)
		}
	}
	if len(seen) < 50 {
		t.Errorf("got only %d different backoffs from 100 calls of jitter, want at least 50", len(seen))
	}
}
