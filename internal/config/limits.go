package config

import (
	"encoding/json"
	"fmt"
)

const (
	defaultSockets = 1024

	reservedSockets = 32 // descriptors of the process itself, for discovery and the console
	minConnections  = 8  // on either side

	requestFraction     = 3 // one descriptor in this many is for the attempt of a request
	idleBackendFraction = 3 // one idle connection to a backend for this many of those
)

// Limits is what the processes of a proxy may use together.
type Limits struct {
	Sockets  int     `json:"sockets"`   // file descriptors
	MemoryMB float64 `json:"memory_mb"` // in MiB; 0 for no limit
	Cores    float64 `json:"cores"`     // 0 for no limit
}

// parseLimits reads the limits' object; data may be empty.
func parseLimits(data json.RawMessage) (Limits, error) {
	var l Limits
	if len(data) > 0 {
		if err := json.Unmarshal(data, &l); err != nil {
			return Limits{}, err
		}
	}
	for _, limit := range []struct {
		key   string
		value float64
	}{
		{"sockets", float64(l.Sockets)},
		{"memory_mb", l.MemoryMB},
		{"cores", l.Cores},
	} {
		if limit.value < 0 {
			return Limits{}, fmt.Errorf("%s: %v is negative", limit.key, limit.value)
		}
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return l, nil
}

// Halved returns what one of two processes may use. The cores stay, as the platform allots them anew.
func (l Limits) Halved() Limits {
	return Limits{Sockets: l.Sockets / 2, MemoryMB: l.MemoryMB / 2, Cores: l.Cores}
}

// Connections divides the descriptors between the connections of clients and those to backends. Each open request has at
// most one attempt in flight, and a third more connections to backends may be idle; clients get the rest.
func (l Limits) Connections() (clients, backends int) {
	attempts := l.Sockets / requestFraction
	backends = attempts + attempts/idleBackendFraction
	return l.Sockets - reservedSockets - backends, backends
}

// ClientConnections returns how many connections clients may have: what Connections says, but a few at any rate.
func (l Limits) ClientConnections() int {
	clients, _ := l.Connections()
	return max(clients, minConnections)
}

// check returns an error where the descriptors are too few to serve.
func (l Limits) check() error {
	if clients, _ := l.Connections(); clients < minConnections {
		return fmt.Errorf("%d sockets are too few", l.Sockets)
	}
	return nil
}
