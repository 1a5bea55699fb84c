package downstream

import "time"

const (
	// NewConnectionsPossible is how long after SIGTERM new connections may arrive. For newConnectionsSure they surely do.
	NewConnectionsPossible = 550 * time.Millisecond
	newConnectionsSure     = 200 * time.Millisecond

	drainInterval = 20 * time.Millisecond

	// While another process takes over, connections are closed that have been idle for handOverIdle, and all idle ones
	// from handOverCloseAll on. Requests that cross a close are lost, but those that arrive more than 0.7 s after SIGTERM
	// have to be answered before SIGKILL, and their responses may be long.
	handOverIdle     = 300 * time.Millisecond
	handOverCloseAll = 500 * time.Millisecond
)

// BeginShutdown has health checks fail after SIGTERM. It ends the emptying of a lame duck, as the shutdown does that.
func (s *Server) BeginShutdown() {
	s.lameDuckMu.Lock()
	defer s.lameDuckMu.Unlock()
	s.draining.Store(true)
	if s.lameDuck.Load() {
		s.stopEmptying()
		s.emptying.Wait()
	}
}

// SetTakenOver sets whether another process of this proxy accepts connections.
func (s *Server) SetTakenOver(takenOver bool) { s.takenOver.Store(takenOver) }

// Drain shuts down after SIGTERM. Until serveUntil clients are served as ever, and keep their connections: new ones stop
// soon, but a client uses those that it has while they stay open. What else it has is not known here: other proxies may
// restart close behind each other, and for seconds this one may be the last, while its successor starts no sooner for
// an early end. Then connections are closed as they fall idle, until none is left or cutoff has passed.
//
// This also covers other proxies that have crashed, and a load balancer in front that is slow to find a new one. Its price
// is a supervisor that starts the successor only when this process has ended: that is then seconds later.
func (s *Server) Drain(serveUntil, cutoff time.Time) {
	begin := time.Now()
	for {
		elapsed := time.Since(begin)
		serving := time.Now().Before(serveUntil) && s.connections.Stats().Open > 0
		if elapsed >= NewConnectionsPossible && !serving {
			break
		}
		s.newConnectionsEnded.Store(elapsed >= newConnectionsSure)
		time.Sleep(drainInterval)
	}
	s.Shutdown(cutoff)
}

// HandOver shuts down when another process has taken over. New connections go there; those that wait in the queue here are
// still accepted. Responses close their connections from now on, and idle connections stay open while a request may well
// be on its way to them.
func (s *Server) HandOver(cutoff time.Time) {
	begin := time.Now()
	s.closeAfterResponse.Store(true)
	for {
		elapsed := time.Since(begin)
		if elapsed >= NewConnectionsPossible || !time.Now().Before(cutoff) {
			break
		}
		idleFor := handOverIdle
		if elapsed >= handOverCloseAll {
			idleFor = 0
		}
		s.connections.CloseIdle(idleFor, NewConnectionsPossible)
		time.Sleep(drainInterval)
	}
	s.Shutdown(cutoff)
}

// Shutdown closes the listener once its queue is empty, connections as they fall idle, and at cutoff those that have
// brought half a request. Submitted requests get their responses even then: the dispatcher fails them at cutoff, a response
// that is being forwarded may take longer, until SIGKILL. No connection arrives after the last
// look at them, since by then the listener is closed and nothing accepts.
func (s *Server) Shutdown(cutoff time.Time) {
	s.closeAfterResponse.Store(true)
	for listening := true; ; time.Sleep(drainInterval) {
		late := !time.Now().Before(cutoff)
		if listening && (late || !s.connections.HasPending()) {
			s.connections.Close()
			<-s.serveDone
			listening = false
		}
		remaining, active := s.connections.CloseIdle(0, NewConnectionsPossible)
		if !listening && (remaining == 0 || late && active == 0) {
			break
		}
	}
	_ = s.http.Close()
}
