// Package settings reads the settings object, which a real proxy gets in its configuration file and a
// simulated one in its first message. It maps the object's names to the terms of package balancer, and no
// other package knows them. Keys that it does not know are ignored.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
)

// Site is the content of a settings object.
type Site struct {
	Balancer balancer.Settings
	Classes  []string // names, in the order of Balancer.Classes
	Tenants  []string // names, in the order of Balancer.Tenants
	Zones    []string // names; Balancer.Zone is an index into them

	DialTimeout time.Duration // for a new connection to a backend
	IdleClose   time.Duration // after which a backend closes an idle connection, at the latest
}

// Decode reads a settings object and checks what the balancer needs of it; CheckSockets checks the rest. A
// value that cannot be used gives a *ValueError.
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

// decodeError turns a value of the wrong JSON type into a *ValueError.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &ValueError{Path: typeError.Field, Value: typeError.Value, Err: ErrUnexpectedType}
	}
	return fmt.Errorf("decode settings: %w", err)
}

// CheckSockets checks what a proxy on real sockets needs beyond the balancer's part: the time limits of its
// connections, and distinct names of classes and tenants. Its errors are *ValueError.
func (s *Site) CheckSockets() error {
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

// checkNames checks that the names of the entries of one list are present and distinct.
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
