package downstream

import (
	"context"
	"time"
)

// LameDuckDelay is the time from the start of lame duck mode until the proxy begins to close connections, because clients
// no longer open new ones to it. Clients repeat their health checks within 0.1 s, and may open connections for another
// 0.2 s; the delay is 0.1 s longer than that.
const LameDuckDelay = 400 * time.Millisecond

// SetLameDuck starts draining the proxy of clients, or returns it to service. Nothing else changes, and nothing restarts.
// A caller that has turned lame duck mode on has to turn it off in the end, which stops the draining goroutine.
func (s *Server) SetLameDuck(on bool) {
	s.lameDuckMu.Lock()
	defer s.lameDuckMu.Unlock()
	if on == s.lameDuck.Load() {
		return
	}
	s.lameDuck.Store(on)
	if on {
		ctx, stop := context.WithCancel(context.Background())
		s.stopLameDuckDrain = stop
		s.lameDuckDrain.Go(func() { s.drainLameDuck(ctx) })
		return
	}
	s.stopLameDuckDrain()
	s.lameDuckDrain.Wait()
	if !s.draining.Load() {
		s.closeAfterResponse.Store(false)
	}
}

// drainLameDuck closes connections after their responses, and idle ones, from LameDuckDelay on until the context is done.
func (s *Server) drainLameDuck(ctx context.Context) {
	for wait := LameDuckDelay; ; wait = drainInterval {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		s.closeAfterResponse.Store(true)
		s.connections.CloseIdle(0, NewConnectionWindow)
	}
}
