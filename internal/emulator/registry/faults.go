package registry

import (
	"fmt"
	"time"
)

// faults are the injected faults in force.
type faults struct {
	cutZones           map[string]bool
	regionsPartitioned bool
	rejectRatio        float64 // of all requests
	delay              time.Duration
}

// Kill stops a replica. Its connections are reset, and its clients' next ones go to others.
func (s *Service) Kill(name string) error {
	s.mu.Lock()
	r, err := s.find(name, true)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	r.live = false
	s.notifyTopologyChange()
	lost := s.connsWhere(func(c *conn) bool { return c.replica == r && s.reaches(c.client.location, r) })
	s.mu.Unlock()
	resetAll(lost)
	return nil
}

// Restart starts a replica that was killed, with a new log. It has its stored changes and those of the live replicas
// that it reaches.
func (s *Service) Restart(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := s.find(name, false)
	if err != nil {
		return err
	}
	var peers []*replica
	for _, peer := range s.replicas {
		if peer.live && s.linked(peer, r) {
			peers = append(peers, peer)
		}
	}
	s.lastEpoch++
	r.start(s.lastEpoch, peers)
	s.notifyTopologyChange()
	s.synchronize()
	return nil
}

// find returns the replica with the given name if it is in the given state.
func (s *Service) find(name string, live bool) (*replica, error) {
	for _, r := range s.replicas {
		if r.Name != name {
			continue
		}
		if r.live != live {
			return nil, &replicaStateError{name: name, live: r.live}
		}
		return r, nil
	}
	return nil, fmt.Errorf("unknown replica %q", name)
}

// replicaStateError reports a fault that needs a replica in the other state.
type replicaStateError struct {
	name string
	live bool // the state that it is in
}

func (e *replicaStateError) Error() string {
	state := "down"
	if e.live {
		state = "live"
	}
	return fmt.Sprintf("replica %q is already %s", e.name, state)
}

// SilenceWatches makes the connections of all present watches silent: they never get a response.
func (s *Service) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.watching {
			c.silent.Store(true)
		}
	}
}

// RejectRequests rejects the given part of all requests from now on; 0 ends it.
func (s *Service) RejectRequests(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rejectRatio = ratio
}

// DelayRequests delays every request before it is handled, from now on; 0 ends it.
func (s *Service) DelayRequests(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// CutZone isolates a zone: its clients reach no replica, and its replicas reach none in other zones. Open connections
// across the cut are silent for good, and new ones are silent until HealZone, which resets them.
func (s *Service) CutZone(zone string) {
	s.changeLinks(func() { s.faults.cutZones[zone] = true })
}

// HealZone ends CutZone.
func (s *Service) HealZone(zone string) {
	s.changeLinks(func() { delete(s.faults.cutZones, zone) })
}

// CutRegions partitions the network between the regions.
func (s *Service) CutRegions() {
	s.changeLinks(func() { s.faults.regionsPartitioned = true })
}

// HealRegions ends CutRegions.
func (s *Service) HealRegions() {
	s.changeLinks(func() { s.faults.regionsPartitioned = false })
}

// changeLinks changes which parts of the network reach each other.
func (s *Service) changeLinks(change func()) {
	s.mu.Lock()
	change()
	s.notifyTopologyChange()
	s.synchronize()
	for _, c := range s.conns {
		if c.replica != nil && !s.reaches(c.client.location, c.replica) {
			c.silent.Store(true)
		}
	}
	waiting := s.connsWhere(func(c *conn) bool {
		return s.config.Poll && c.replica == nil && s.nearest(c.client.location) != nil
	})
	s.mu.Unlock()
	resetAll(waiting)
}

// connsWhere returns the connections for which the condition holds.
func (s *Service) connsWhere(holds func(*conn) bool) []*conn {
	var found []*conn
	for _, c := range s.conns {
		if holds(c) {
			found = append(found, c)
		}
	}
	return found
}

// notifyTopologyChange makes every pending request look again for the replica that serves it.
func (s *Service) notifyTopologyChange() {
	close(s.topologyChanged)
	s.topologyChanged = make(chan struct{})
}
