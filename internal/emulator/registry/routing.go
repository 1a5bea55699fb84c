package registry

// linked reports whether two replicas can reach each other.
func (s *Service) linked(a, b *replica) bool {
	return a.Zone == b.Zone || s.connected(a.Zone, a.Region, b.Zone, b.Region)
}

// reaches reports whether a client and a replica can reach each other. Clients in an isolated zone cannot reach any
// replica, not even one in their zone.
func (s *Service) reaches(location Location, r *replica) bool {
	return s.connected(location.Zone, location.Region, r.Zone, r.Region)
}

func (s *Service) connected(zoneA, regionA, zoneB, regionB string) bool {
	if s.faults.cutZones[zoneA] || s.faults.cutZones[zoneB] {
		return false
	}
	return regionA == regionB || !s.faults.regionsPartitioned
}

// nearest returns the replica to use for a client. It prefers replicas in the client's zone, then in its region, then
// any other, and picks the least loaded of those. It returns nil if the client cannot reach a live replica.
func (s *Service) nearest(location Location) *replica {
	var best *replica
	for _, r := range s.replicas {
		if !r.live || !s.reaches(location, r) {
			continue
		}
		if best == nil || distance(location, r) < distance(location, best) ||
			distance(location, r) == distance(location, best) && r.load < best.load {
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

func distance(location Location, r *replica) int {
	switch {
	case location.Zone == r.Zone:
		return sameZone
	case location.Region == r.Region:
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

// replicaFor returns the replica that currently serves a connection's requests, or nil if there is none. Where the list
// is pushed, it first attaches the client's agent to another replica if the agent's replica is down or unreachable.
func (s *Service) replicaFor(c *conn) *replica {
	if s.config.Poll {
		if c.replica == nil || !c.replica.live {
			return nil
		}
		return c.replica
	}
	s.attachAgent(c.client)
	c.usageReplica.Store(c.client.replica)
	return c.client.replica
}

// attachAgent attaches a client's agent to the nearest replica, unless its present replica is live and reachable.
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
