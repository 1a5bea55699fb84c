package discovery

import (
	"testing"
	"time"
)

// Discovery went down under all proxies at once, and each asked again at the same instants.
func TestRetriesAreSpread(t *testing.T) {
	c := NewClient(Options{})
	seen := map[time.Duration]bool{}
	for range 100 {
		w := c.jitter(retryMost)
		if seen[w] = true; w < retryMost/2 || w > retryMost {
			t.Fatalf("waits %v", w)
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different waits of 100", len(seen))
	}
}
