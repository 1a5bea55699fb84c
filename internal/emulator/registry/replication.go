package registry

import (
	"time"

	"baylock/internal/discovery"
)

// delivery is a message between replicas: one change or, if origin is nil, an exchange of all stored changes.
type delivery struct {
	due       time.Time
	origin    *replica
	change    Change
	endpoints []discovery.Endpoint
}

// replicate sends a change to the other replicas.
func (s *Service) replicate(change Change, endpoints []discovery.Endpoint, origin *replica) {
	s.send(delivery{change: change, endpoints: endpoints, origin: origin})
}

// synchronize makes all replicas that can reach each other exchange their lists. It is called after each restart and
// each change of the links, because deliveries to replicas that were down or unreachable are lost.
func (s *Service) synchronize() { s.send(delivery{}) }

// send schedules a delivery. All deliveries have the same delay, so they arrive in order.
func (s *Service) send(d delivery) {
	d.due = time.Now().Add(s.config.ReplicationDelay)
	s.deliveries = append(s.deliveries, d)
	time.AfterFunc(s.config.ReplicationDelay, s.deliver)
}

// deliver processes all deliveries that are due.
func (s *Service) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for !s.isClosed() && len(s.deliveries) > 0 && !s.deliveries[0].due.After(now) {
		d := s.deliveries[0]
		s.deliveries = s.deliveries[1:]
		if d.origin == nil {
			s.exchangeAll()
		} else {
			s.deliverChange(d)
		}
	}
}

func (s *Service) deliverChange(d delivery) {
	for _, r := range s.replicas {
		if r.live && s.linked(d.origin, r) {
			r.list(d.change.List).apply(d.change.Number, d.endpoints)
		}
	}
	s.dropTombstones(d.change.List)
}

func (s *Service) exchangeAll() {
	for _, from := range s.replicas {
		for _, to := range s.replicas {
			if from != to && from.live && to.live && s.linked(from, to) {
				to.merge(from)
			}
		}
	}
	for name := range s.replicas[0].lists {
		s.dropTombstones(name)
	}
}

// dropTombstones removes those tombstones of a list that every replica has stored.
func (s *Service) dropTombstones(list string) {
	replicatedThrough := s.lastChange
	for _, r := range s.replicas {
		replicatedThrough = min(replicatedThrough, r.list(list).completeThrough())
	}
	for _, r := range s.replicas {
		r.list(list).dropTombstones(replicatedThrough)
	}
}
