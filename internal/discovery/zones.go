package discovery

import (
	"hash/fnv"
	"io"

	"baylock/balancer"
)

const microsecondsPerMillisecond = 1000

// Zones maps the names of the zones in the settings to their numbers, which begin at 0. Other zones get a number that is
// derived from a hash of their name, so that there can be any number of them.
type Zones map[string]int

// NewZones numbers the zones in the settings by their position in names.
func NewZones(names []string) Zones {
	z := make(Zones, len(names))
	for i, name := range names {
		z[name] = i
	}
	return z
}

// Number returns the number of the zone with the given name.
func (z Zones) Number(name string) int {
	if n, ok := z[name]; ok {
		return n
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // never fails
	return len(z) + int(hash.Sum32()>>1)
}

// Endpoints converts entries of the list to the balancer's type. The balancer's clock must return Unix time in
// microseconds, because the start times of backends are passed to it in this form.
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
