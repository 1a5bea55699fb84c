package downstream

import (
	"context"
	"time"
)

// LameDuckDelay is from the start of lame duck until clients get no new connections here: they repeat their health checks
// within 0.1 s, and connect for 0.2 s more.
const LameDuckDelay = 400 * time.Millisecond

// SetLameDuck empties the proxy of clients, or takes it back into service. Nothing else changes, and nothing restarts.
// Whoever has set it clears it at last, which ends the goroutine that empties the proxy.
func (s *Server) SetLameDuck(on bool) {
	s.lameDuckMu.Lock()
	defer s.lameDuckMu.Unlock()
	if on == s.lameDuck.Load() {
		return
	}
	s.lameDuck.Store(on)
	if on {
		ctx, stop := context.WithCancel(context.Background())
		s.stopEmptying = stop
		s.emptying.Go(func() { s.empty(ctx) })
		return
	}
	s.stopEmptying()
	s.emptying.Wait()
	if !s.draining.Load() {
		s.closeAfterResponse.Store(false)
	}
}

// empty closes connections with their responses, and those that fall idle, until the context ends.
func (s *Server) empty(ctx context.Context) {
	for wait := LameDuckDelay; ; wait = drainInterval {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		s.closeAfterResponse.Store(true)
		s.connections.CloseIdle(0, NewConnectionsPossible)
	}
}
