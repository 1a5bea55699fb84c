package registry

import (
	"fmt"
	"time"
)

// faults are the injected faults that are active.
type faults struct {
	cutZones           map[string]bool
	regionsPartitioned bool
	rejectRatio        float64 // probability that a valid request is rejected
	delay              time.Duration
}

// Kill stops a replica. Its connections are reset, except those across a partition, and its clients are served by
// other replicas.
func (s *Service) Kill(name string) error {
	s.mu.Lock()
	r, err := s.findReplica(name, true)
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

// Restart starts a killed replica with a new log. The replica still has its stored changes. Before it serves requests,
// it gets the changes of the live replicas that it can reach.
func (s *Service) Restart(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := s.findReplica(name, false)
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

// findReplica returns the replica with the given name, or an error if there is none or it is not in the given state.
func (s *Service) findReplica(name string, live bool) (*replica, error) {
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

// replicaStateError reports that a replica cannot be killed or restarted because it is already down or live.
type replicaStateError struct {
	name string
	live bool // the current state of the replica
}

func (e *replicaStateError) Error() string {
	state := "down"
	if e.live {
		state = "live"
	}
	return fmt.Sprintf("replica %q is already %s", e.name, state)
}

// SilenceWatches makes the connections of all pending watches silent, so that these watches never get a response.
func (s *Service) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.watching {
			c.silent.Store(true)
		}
	}
}

// RejectRequests rejects the given fraction of valid requests, chosen at random, from now on. 0 ends the fault.
func (s *Service) RejectRequests(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rejectRatio = ratio
}

// DelayRequests delays every valid request before it is handled, from now on. 0 ends the fault.
func (s *Service) DelayRequests(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// CutZone isolates a zone: its clients cannot reach any replica, and its replicas cannot reach those in other zones.
// Where the list is polled, open connections across the cut become silent permanently, and new ones from the zone are
// silent until HealZone resets them.
func (s *Service) CutZone(zone string) {
	s.changeLinks(func() { s.faults.cutZones[zone] = true })
}

// HealZone ends CutZone.
func (s *Service) HealZone(zone string) {
	s.changeLinks(func() { delete(s.faults.cutZones, zone) })
}

// CutRegions partitions the network, so that the regions cannot reach each other.
func (s *Service) CutRegions() {
	s.changeLinks(func() { s.faults.regionsPartitioned = true })
}

// HealRegions ends CutRegions.
func (s *Service) HealRegions() {
	s.changeLinks(func() { s.faults.regionsPartitioned = false })
}

// changeLinks applies a change of the network links and updates the affected connections.
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

// notifyTopologyChange wakes every pending request, which then determines again which replica serves it.
func (s *Service) notifyTopologyChange() {
	close(s.topologyChanged)
	s.topologyChanged = make(chan struct{})
}
