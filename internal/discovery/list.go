// Package discovery is the client of the discovery service. It watches the endpoint list, parses it, and assigns numbers
// to the zones in it.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Status is the state of a backend in the list.
type Status string

// The statuses of a backend.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING" // it finishes its open requests and gets no new ones
	Deleted  Status = "DELETED"  // only in lists of changes
)

// Endpoint is one entry of the list.
type Endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"` // host:port
	Zone    string   `json:"zone"`
	Cell    int      `json:"group"` // backends of one cell share the deduplication of idempotency keys
	Status  Status   `json:"status"`
	Weight  *float64 `json:"weight,omitempty"` // capacity; nil if the list has none
	SinceMs int64    `json:"since_ms"`         // Unix time of its last start in milliseconds, or 0 if that was long ago
}

// List is the endpoint list at one version, or the changes to it up to that version.
type List struct {
	Index     int64      `json:"index"`    // version of the list
	Snapshot  bool       `json:"snapshot"` // whether the list is complete
	Endpoints []Endpoint `json:"endpoints"`
}

// ParseList parses a list as the service sends it. One invalid entry makes the list invalid.
func ParseList(data []byte) (*List, error) {
	var raw struct {
		Index     *int64      `json:"index"`
		Snapshot  *bool       `json:"snapshot"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("index, snapshot or endpoints is missing")
	}
	for i, e := range *raw.Endpoints {
		if err := e.check(); err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
	}
	return &List{Index: *raw.Index, Snapshot: *raw.Snapshot, Endpoints: *raw.Endpoints}, nil
}

func (e Endpoint) check() error {
	if e.Name == "" {
		return errors.New("name is missing")
	}
	switch e.Status {
	case Serving, Draining:
		_, _, err := net.SplitHostPort(e.Address)
		return err
	case Deleted:
		return nil
	default:
		return fmt.Errorf("unknown status %q", e.Status)
	}
}
