// Package settings reads the settings object, which a real proxy gets in its configuration file and a
// simulated one in its first message. It converts the object to the types of package balancer, and no other
// package depends on the object's keys. Unknown keys are ignored.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
)

// Site is a decoded settings object.
type Site struct {
	Balancer balancer.Settings
	Classes  []string // names, in the order of Balancer.Classes
	Tenants  []string // names, in the order of Balancer.Tenants
	Zones    []string // names; Balancer.Zone is an index into them

	DialTimeout time.Duration // for a new connection to a backend
	IdleClose   time.Duration // backends close an idle connection after this time at the latest
}

// Decode parses a settings object and validates the settings of the balancer; ValidateForProxy validates
// the rest. It returns a *ValueError for a value that cannot be used.
func Decode(data []byte) (*Site, error) {
	var wire wireSettings
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, decodeError(err)
	}
	balancerSettings, err := wire.balancerSettings()
	if err != nil {
		return nil, err
	}
	site := &Site{
		Balancer:    balancerSettings,
		Zones:       wire.Zones,
		DialTimeout: wire.Limits.DialTimeout.Duration(),
		IdleClose:   wire.Limits.IdleClose.Duration(),
	}
	for _, class := range wire.Classes {
		site.Classes = append(site.Classes, class.Name)
	}
	for _, tenant := range wire.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	return site, nil
}

// decodeError returns a *ValueError if err reports a value of the wrong JSON type.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &ValueError{Path: typeError.Field, Value: typeError.Value, Err: ErrUnexpectedType}
	}
	return fmt.Errorf("decode settings: %w", err)
}

// ValidateForProxy validates what a proxy on real sockets needs in addition to the balancer's settings: the
// timeouts of its connections, and distinct, non-empty names of classes and tenants. Its errors are of type
// *ValueError.
func (s *Site) ValidateForProxy() error {
	if s.DialTimeout <= 0 {
		return &ValueError{Path: "limits.dial_timeout_us", Value: s.DialTimeout, Err: ErrNotPositive}
	}
	if s.IdleClose <= 0 {
		return &ValueError{Path: "limits.idle_close_us", Value: s.IdleClose, Err: ErrNotPositive}
	}
	if err := checkNames("profiles", s.Classes); err != nil {
		return err
	}
	return checkNames("tenants", s.Tenants)
}

// checkNames checks that the entries of one list have distinct, non-empty names.
func checkNames(list string, names []string) error {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if name == "" {
			return &ValueError{Path: path, Value: name, Err: ErrMissingName}
		}
		if seen[name] {
			return &ValueError{Path: path, Value: name, Err: ErrDuplicateName}
		}
		seen[name] = true
	}
	return nil
}
