package registry

// linked reports whether two replicas reach each other.
func (s *Service) linked(a, b *replica) bool {
	return a.Zone == b.Zone || s.connected(a.Zone, a.Region, b.Zone, b.Region)
}

// reaches reports whether a client and a replica reach each other. Clients in an isolated zone reach none.
func (s *Service) reaches(at Location, r *replica) bool {
	return s.connected(at.Zone, at.Region, r.Zone, r.Region)
}

func (s *Service) connected(zoneA, regionA, zoneB, regionB string) bool {
	if s.faults.cutZones[zoneA] || s.faults.cutZones[zoneB] {
		return false
	}
	return regionA == regionB || !s.faults.regionsPartitioned
}

// nearest returns the replica for a client: one of its zone, else of its region, else any, and the least loaded of
// these. It is nil if the client reaches no live one.
func (s *Service) nearest(at Location) *replica {
	var best *replica
	for _, r := range s.replicas {
		if !r.live || !s.reaches(at, r) {
			continue
		}
		if best == nil || distance(at, r) < distance(at, best) ||
			distance(at, r) == distance(at, best) && r.load < best.load {
			best = r
		}
	}
	return best
}

// The distances between a client and a replica, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func distance(at Location, r *replica) int {
	switch {
	case at.Zone == r.Zone:
		return sameZone
	case at.Region == r.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

func (s *Service) anyLive() bool {
	for _, r := range s.replicas {
		if r.live {
			return true
		}
	}
	return false
}

// replicaFor returns the replica that serves a connection's requests now, or nil. An agent keeps its replica while it
// reaches it.
func (s *Service) replicaFor(c *conn) *replica {
	if s.config.Poll {
		if c.replica == nil || !c.replica.live {
			return nil
		}
		return c.replica
	}
	s.attachAgent(c.client)
	c.metered.Store(c.client.replica)
	return c.client.replica
}

// attachAgent makes a client's agent follow the nearest replica, unless it reaches the one that it follows.
func (s *Service) attachAgent(c *client) {
	if c.replica != nil && c.replica.live && s.reaches(c.location, c.replica) {
		return
	}
	if c.replica != nil {
		c.replica.load--
	}
	c.replica = s.nearest(c.location)
	if c.replica != nil {
		c.replica.load++
	}
}
