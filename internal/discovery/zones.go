package discovery

import (
	"hash/fnv"
	"io"

	"baylock/balancer"
)

// Zones numbers zones by name: the settings' own from 0, any other by a hash, so that names without end leave
// nothing behind.
type Zones map[string]int

// NewZones numbers the zones that the settings name.
func NewZones(names []string) Zones {
	z := make(Zones, len(names))
	for i, name := range names {
		z[name] = i
	}
	return z
}

// Number is the number of a zone.
func (z Zones) Number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // never fails
	return len(z) + int(h.Sum32()>>1)
}

// Servers turns entries into the decision module's. Its clock has to show Unix time in microseconds, since the start
// times of backends are handed on as such.
func (z Zones) Servers(entries []Endpoint) []balancer.Endpoint {
	out := make([]balancer.Endpoint, 0, len(entries))
	for _, e := range entries {
		s := balancer.Endpoint{ID: e.Name, Zone: z.Number(e.Zone), Cell: e.Group, Capacity: 1, StartedAt: balancer.Microseconds(e.SinceMs * 1000)}
		switch e.Status {
		case Serving:
			s.State = balancer.Ready
		case Draining:
			s.State = balancer.Draining
		}
		if e.Weight != nil {
			s.Capacity = *e.Weight
		}
		out = append(out, s)
	}
	return out
}
