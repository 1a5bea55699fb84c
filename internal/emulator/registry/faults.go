package registry

import (
	"fmt"
	"time"
)

// faults are those in force.
type faults struct {
	cutZones     map[string]bool
	regionsApart bool
	refused      float64 // part of the calls
	delay        time.Duration
}

// Kill ends a replica. Its connections are reset, and its clients' next ones go to others.
func (s *Service) Kill(name string) error {
	s.mu.Lock()
	r, err := s.find(name, true)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	r.live = false
	s.topologyChanged()
	lost := s.connsWhere(func(c *conn) bool { return c.replica == r && s.reaches(c.client.at, r) })
	s.mu.Unlock()
	resetAll(lost)
	return nil
}

// Restart starts a replica that was killed. It has what it had stored and all that the peers have which it reaches, and
// a new log.
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
	s.epoch++
	r.start(s.epoch, peers)
	s.topologyChanged()
	s.synchronize()
	return nil
}

// find gives the replica of a name if it is in the given state.
func (s *Service) find(name string, live bool) (*replica, error) {
	for _, r := range s.replicas {
		if r.Name != name {
			continue
		}
		if r.live != live {
			return nil, fmt.Errorf("replica %q is %s already", name, map[bool]string{true: "live", false: "down"}[r.live])
		}
		return r, nil
	}
	return nil, fmt.Errorf("no replica %q", name)
}

// SilenceWatches leaves all watches that wait now without an answer for ever, and their connections silent.
func (s *Service) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.watching {
			c.silent.Store(true)
		}
	}
}

// RefuseCalls has a part of all calls refused, from now on; 0 ends it.
func (s *Service) RefuseCalls(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.refused = part
}

// DelayCalls has every call wait before it is looked at, from now on; 0 ends it.
func (s *Service) DelayCalls(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// CutZone cuts a zone off: its clients reach no replica and its replicas reach none in other zones. Open connections
// across the cut stay silent for good, and new ones are silent until HealZone, which resets them.
func (s *Service) CutZone(zone string) {
	s.setLinks(func() { s.faults.cutZones[zone] = true })
}

// HealZone ends CutZone.
func (s *Service) HealZone(zone string) {
	s.setLinks(func() { delete(s.faults.cutZones, zone) })
}

// CutRegions parts the regions from each other.
func (s *Service) CutRegions() {
	s.setLinks(func() { s.faults.regionsApart = true })
}

// HealRegions ends CutRegions.
func (s *Service) HealRegions() {
	s.setLinks(func() { s.faults.regionsApart = false })
}

// setLinks changes what reaches what.
func (s *Service) setLinks(change func()) {
	s.mu.Lock()
	change()
	s.topologyChanged()
	s.synchronize()
	for _, c := range s.conns {
		if c.replica != nil && !s.reaches(c.client.at, c.replica) {
			c.silent.Store(true)
		}
	}
	waited := s.connsWhere(func(c *conn) bool {
		return s.config.Ask && c.replica == nil && s.nearest(c.client.at) != nil
	})
	s.mu.Unlock()
	resetAll(waited)
}

func (s *Service) connsWhere(which func(*conn) bool) []*conn {
	var found []*conn
	for _, c := range s.conns {
		if which(c) {
			found = append(found, c)
		}
	}
	return found
}

// topologyChanged has every call that waits look again at which replica answers it.
func (s *Service) topologyChanged() {
	close(s.topology)
	s.topology = make(chan struct{})
}
