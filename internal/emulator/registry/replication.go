package registry

import (
	"time"

	"baylock/internal/discovery"
)

// delivery is a message between replicas: one change or, without an origin, an exchange of all that each has stored.
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

// synchronize makes all replicas that reach each other exchange their lists. It follows each restart and each healed
// link, as earlier deliveries were lost.
func (s *Service) synchronize() { s.send(delivery{}) }

// send sends a delivery. The delay is the same for all, so they arrive in order.
func (s *Service) send(d delivery) {
	d.due = time.Now().Add(s.config.ReplicationDelay)
	s.deliveries = append(s.deliveries, d)
	time.AfterFunc(s.config.ReplicationDelay, s.deliver)
}

// deliver delivers all that is due.
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

// dropTombstones removes the tombstones of a list that every replica has.
func (s *Service) dropTombstones(list string) {
	settled := s.lastChange
	for _, r := range s.replicas {
		settled = min(settled, r.list(list).complete())
	}
	for _, r := range s.replicas {
		r.list(list).dropTombstones(settled)
	}
}
