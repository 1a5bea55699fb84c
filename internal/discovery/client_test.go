package discovery

import (
	"testing"
	"time"
)

// Proxies that lost the service together must not retry at the same instants.
func TestJitterSpreadsBackoff(t *testing.T) {
	c := NewClient(Options{})
	longest := agentPolicy.maxBackoff
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := c.jitter(longest)
		if seen[wait] = true; wait < longest/2 || wait > longest {
			t.Fatalf("waits %v", wait)
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different waits of 100", len(seen))
	}
}
