package config

import (
	"encoding/json"
	"fmt"
)

const (
	defaultSockets = 1024

	reservedSockets      = 32 // file descriptors for the process itself, discovery and the console
	minClientConnections = 8  // limits that leave fewer client connections are rejected

	attemptSocketDivisor  = 3 // one file descriptor in this many is for an attempt in flight
	idleConnectionDivisor = 3 // one idle connection to a backend for this many attempts
)

// Limits are the resources that all processes of a proxy together may use.
type Limits struct {
	Sockets  int     `json:"sockets"`   // file descriptors
	MemoryMB float64 `json:"memory_mb"` // in MiB; 0 for no limit
	Cores    float64 `json:"cores"`     // 0 for no limit
}

// parseLimits decodes the limits object. data may be empty.
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

// Halved returns the limits of each of two concurrent processes. Cores is not halved, because the platform distributes
// the cores among the processes.
func (l Limits) Halved() Limits {
	return Limits{Sockets: l.Sockets / 2, MemoryMB: l.MemoryMB / 2, Cores: l.Cores}
}

// Connections divides the file descriptors between client connections and connections to backends. Each open request has
// at most one attempt in flight. Backends get one connection for each attempt and a third more that may be idle; clients
// get the rest.
func (l Limits) Connections() (clients, backends int) {
	attempts := l.Attempts()
	backends = attempts + attempts/idleConnectionDivisor
	return l.Sockets - reservedSockets - backends, backends
}

// Attempts returns how many attempts may be in flight. Clients hold at most so many file descriptors for their requests.
func (l Limits) Attempts() int { return l.Sockets / attemptSocketDivisor }

// ClientConnections returns how many connections clients may have: the number from Connections, but at least
// minClientConnections.
func (l Limits) ClientConnections() int {
	clients, _ := l.Connections()
	return max(clients, minClientConnections)
}

// check returns an error if there are too few file descriptors to serve clients.
func (l Limits) check() error {
	if clients, _ := l.Connections(); clients < minClientConnections {
		return fmt.Errorf("%d sockets are too few", l.Sockets)
	}
	return nil
}
