// Package discovery is the client of the discovery service: it keeps a watch on the list of backends, reads the
// forms in which the service tells it, and numbers the zones that it names. The real proxies and the scale tool's
// hollow ones share it.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Status is what the list says of a backend.
type Status string

// The statuses of a backend.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING" // it finishes what it has and wants nothing new
	Deleted  Status = "DELETED"  // only among changes
)

// Endpoint is one entry of the list, in the form of the wire.
type Endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"` // host:port
	Zone    string   `json:"zone"`
	Group   int      `json:"group"` // the cell whose backends drop a key's repeats between them
	Status  Status   `json:"status"`
	Weight  *float64 `json:"weight,omitempty"` // its size; nil if the list does not tell
	SinceMs int64    `json:"since_ms"`         // Unix time of its last start in milliseconds; 0: long ago
}

// List is the list of backends at one version, or what has changed in it up to that version.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"` // the whole list
	Endpoints []Endpoint `json:"endpoints"`
}

// ParseList reads a list in the form of the wire. A list with an entry that makes no sense is no list.
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
