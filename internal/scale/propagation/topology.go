package propagation

import (
	"fmt"

	"baylock/internal/emulator/registry"
)

// The regions, and the zones of each.
const (
	east = "east"
	west = "west"
)

// zone is one zone.
type zone struct{ name, region string }

// zones gives the zones in the order in which the module numbers them.
func zones() []zone {
	return []zone{{"zone-1", east}, {"zone-2", east}, {"zone-3", east}, {"zone-4", west}, {"zone-5", west}}
}

func zoneNames() []string {
	var names []string
	for _, z := range zones() {
		names = append(names, z.name)
	}
	return names
}

// What the scenarios hit.
const (
	killedReplica = "replica-1"
	cutZone       = "zone-1" // it has a replica
	startedZone   = "zone-3" // it has none
)

// replicas gives the service's replicas, two for each region in zones of their own.
func replicas(callsPerSecond float64) []registry.ReplicaConfig {
	var configs []registry.ReplicaConfig
	for i, number := range []int{0, 1, 3, 4} {
		z := zones()[number]
		configs = append(configs, registry.ReplicaConfig{Name: fmt.Sprintf("replica-%d", i+1), Zone: z.name,
			Region: z.region, RequestRate: callsPerSecond})
	}
	return configs
}

// regionOf gives the region of a zone.
func regionOf(name string) string {
	for _, z := range zones() {
		if z.name == name {
			return z.region
		}
	}
	return ""
}
