package discovery

import (
	"hash/fnv"
	"io"

	"baylock/balancer"
)

const microsecondsPerMillisecond = 1000

// Zones numbers zones by name: those of the settings from 0, any other by a hash, so that their number is not limited.
type Zones map[string]int

// NewZones returns the numbers of the zones that the settings name.
func NewZones(names []string) Zones {
	z := make(Zones, len(names))
	for i, name := range names {
		z[name] = i
	}
	return z
}

// Number returns the number of a zone.
func (z Zones) Number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // never fails
	return len(z) + int(hash.Sum32()>>1)
}

// Endpoints converts entries of the list to the balancer's. The balancer's clock has to show Unix time in microseconds, as
// the start times of backends are handed on as such.
func (z Zones) Endpoints(entries []Endpoint) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(entries))
	for _, entry := range entries {
		endpoint := balancer.Endpoint{
			ID:        entry.Name,
			Zone:      z.Number(entry.Zone),
			Cell:      entry.Cell,
			Capacity:  1,
			StartedAt: balancer.Microseconds(entry.SinceMs * microsecondsPerMillisecond),
		}
		switch entry.Status {
		case Serving:
			endpoint.State = balancer.Ready
		case Draining:
			endpoint.State = balancer.Draining
		}
		if entry.Weight != nil {
			endpoint.Capacity = *entry.Weight
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
