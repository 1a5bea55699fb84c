package propagation

import (
	"fmt"

	"baylock/internal/emulator/registry"
)

// The regions.
const (
	east = "east"
	west = "west"
)

// zone is a zone and its region.
type zone struct{ name, region string }

// zones returns all zones, in order of their index.
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

// The replica and the zones that the scenarios' faults and late starts affect.
const (
	killedReplica = "replica-1"
	isolatedZone  = "zone-1" // has a replica
	startedZone   = "zone-3" // has no replica
)

// replicas returns the replicas of the discovery service: two in each region, each in a different zone.
func replicas(callsPerSecond float64) []registry.ReplicaConfig {
	var configs []registry.ReplicaConfig
	for i, number := range []int{0, 1, 3, 4} {
		z := zones()[number]
		configs = append(configs, registry.ReplicaConfig{Name: fmt.Sprintf("replica-%d", i+1), Zone: z.name,
			Region: z.region, RequestRate: callsPerSecond})
	}
	return configs
}

// regionOf returns the region of a zone.
func regionOf(name string) string {
	for _, z := range zones() {
		if z.name == name {
			return z.region
		}
	}
	return ""
}
