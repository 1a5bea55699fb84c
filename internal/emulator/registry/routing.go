package registry

// linked tells whether two replicas reach each other.
func (s *Service) linked(a, b *replica) bool {
	return a.Zone == b.Zone || s.connected(a.Zone, a.Region, b.Zone, b.Region)
}

// reaches tells whether a client and a replica reach each other. Clients in a zone that is cut off reach none.
func (s *Service) reaches(at Location, r *replica) bool {
	return s.connected(at.Zone, at.Region, r.Zone, r.Region)
}

func (s *Service) connected(zoneA, regionA, zoneB, regionB string) bool {
	if s.faults.cutZones[zoneA] || s.faults.cutZones[zoneB] {
		return false
	}
	return regionA == regionB || !s.faults.regionsApart
}

// nearest is the replica for a client: one of its zone, of its region, or any, and the least loaded of these; nil if it
// reaches no live one.
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

func distance(at Location, r *replica) int {
	switch {
	case at.Zone == r.Zone:
		return 0
	case at.Region == r.Region:
		return 1
	default:
		return 2
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

// replicaFor is the replica that answers a connection's calls now, or nil. An agent keeps to one while it can.
func (s *Service) replicaFor(c *conn) *replica {
	if s.config.Ask {
		if c.replica == nil || !c.replica.live {
			return nil
		}
		return c.replica
	}
	s.attach(c.client)
	c.countedBy.Store(c.client.follows)
	return c.client.follows
}

// attach lets a client's agent follow the nearest replica, unless it still reaches the one that it follows.
func (s *Service) attach(c *client) {
	if c.follows != nil && c.follows.live && s.reaches(c.at, c.follows) {
		return
	}
	if c.follows != nil {
		c.follows.load--
	}
	c.follows = s.nearest(c.at)
	if c.follows != nil {
		c.follows.load++
	}
}
