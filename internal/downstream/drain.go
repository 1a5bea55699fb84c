package downstream

import "time"

const (
	// NewConnectionWindow is how long after SIGTERM clients may still open new connections. For minNewConnectionWindow they
	// certainly still can. While clients are drained, NewConnectionWindow is also the age beyond which connections without any
	// request so far are closed.
	NewConnectionWindow    = 550 * time.Millisecond
	minNewConnectionWindow = 200 * time.Millisecond

	drainInterval = 20 * time.Millisecond

	// During a hand-over, connections that have been idle for handOverIdleTimeout are closed, and from
	// handOverCloseAllAfter on all idle ones. A request that is sent while its connection is being closed is lost, but
	// idle connections can't stay open for long either: a request that arrives more than 0.7 s after SIGTERM has to be
	// answered before SIGKILL, and its response may be long.
	handOverIdleTimeout   = 300 * time.Millisecond
	handOverCloseAllAfter = 500 * time.Millisecond
)

// BeginShutdown makes health checks fail after SIGTERM. It also stops the draining in lame duck mode, since the shutdown
// drains the connections itself.
func (s *Server) BeginShutdown() {
	s.lameDuckMu.Lock()
	defer s.lameDuckMu.Unlock()
	s.draining.Store(true)
	if s.lameDuck.Load() {
		s.stopLameDuckDrain()
		s.lameDuckDrain.Wait()
	}
}

// SetTakenOver records whether another process of this proxy accepts connections.
func (s *Server) SetTakenOver(takenOver bool) { s.takenOver.Store(takenOver) }

// Drain shuts the server down after SIGTERM. For NewConnectionWindow, and then until serveUntil or until no connection is
// left, requests are served as usual and connections stay open. After that, connections are closed as they become idle,
// until none is left or cutoff has passed.
//
// Drain serves for so long because clients soon stop opening new connections but keep using the open ones, and the server
// does not know which other proxies they can reach. The others may restart shortly after each other, so that this one may
// be the only one left for some seconds. It also helps when other proxies have crashed, and when a load balancer in front
// of the proxies is slow to discover a new one. Usually the successor would not start sooner if this process exited
// early. The drawback: under a supervisor that starts the successor only after this process has exited, the successor
// starts seconds later.
func (s *Server) Drain(serveUntil, cutoff time.Time) {
	begin := time.Now()
	for {
		elapsed := time.Since(begin)
		serving := time.Now().Before(serveUntil) && s.connections.Stats().Open > 0
		if elapsed >= NewConnectionWindow && !serving {
			break
		}
		s.newConnectionsEnded.Store(elapsed >= minNewConnectionWindow)
		time.Sleep(drainInterval)
	}
	s.Shutdown(cutoff)
}

// HandOver shuts the server down after another process has taken over. New connections go to that process, but those in
// the accept queue of this one are still accepted. From now on, each connection is closed after its response. Idle
// connections stay open for as long as a request is likely to be on its way to them.
func (s *Server) HandOver(cutoff time.Time) {
	begin := time.Now()
	s.closeAfterResponse.Store(true)
	for {
		elapsed := time.Since(begin)
		if elapsed >= NewConnectionWindow || !time.Now().Before(cutoff) {
			break
		}
		idleFor := handOverIdleTimeout
		if elapsed >= handOverCloseAllAfter {
			idleFor = 0
		}
		s.connections.CloseIdle(idleFor, NewConnectionWindow)
		time.Sleep(drainInterval)
	}
	s.Shutdown(cutoff)
}

// Shutdown closes the listener once its accept queue is empty, and connections as they become idle. At cutoff it closes the
// listener in any case, and the connections on which only part of a request has arrived. Submitted requests still get their
// responses: the dispatcher fails them at cutoff, and a response that is being forwarded may take longer, until SIGKILL. No
// connection can arrive after the last CloseIdle, since the listener is closed and Serve has returned by then.
func (s *Server) Shutdown(cutoff time.Time) {
	s.closeAfterResponse.Store(true)
	for listening := true; ; time.Sleep(drainInterval) {
		late := !time.Now().Before(cutoff)
		if listening && (late || !s.connections.HasPending()) {
			s.connections.Close()
			<-s.serveDone
			listening = false
		}
		remaining, active := s.connections.CloseIdle(0, NewConnectionWindow)
		if !listening && (remaining == 0 || late && active == 0) {
			break
		}
	}
	_ = s.http.Close()
}
