package config

import (
	"fmt"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/settings"
)

// timeLayout shows operators when a snapshot was taken, in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// NoTenant is the index of a tenant that the settings don't name.
const NoTenant = -1

// Snapshot is the part of a configuration that a reload can change, checked and ready for use. It is never changed: a
// reload puts another one in its place, and each request is parsed and taken under one of them.
type Snapshot struct {
	Site     *settings.Site
	Balancer balancer.Settings // the site's, with the zone numbers of the process's start
	Limits   Limits
	Version  string // names the content of limits and settings
	TakenAt  time.Time

	classes         map[string]int // indices by name
	tenants         map[string]int
	longestDeadline time.Duration // of the classes
	earlier         earlierDeadline
}

// earlierDeadline is the longest deadline of requests that arrived under earlier snapshots, until the last has passed.
type earlierDeadline struct {
	longest time.Duration
	until   time.Time
}

// NewSnapshot checks all of a configuration but what the balancer checks itself. previous is the snapshot that the new
// one is to replace, or nil at the start; zones are those of the start.
func NewSnapshot(cfg Config, zones discovery.Zones, previous *Snapshot) (*Snapshot, error) {
	if err := cfg.Site.ValidateForProxy(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := cfg.Limits.check(); err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	s := &Snapshot{
		Site:     cfg.Site,
		Balancer: cfg.Site.Balancer,
		Limits:   cfg.Limits,
		Version:  cfg.Version,
		TakenAt:  time.Now(),
		classes:  indices(cfg.Site.Classes),
		tenants:  indices(cfg.Site.Tenants),
	}
	for _, c := range s.Balancer.Classes {
		s.longestDeadline = max(s.longestDeadline, c.Deadline.Duration())
	}
	// The balancer compares endpoints and attempts by their zones' numbers, so these hold for the life of the process.
	if z := s.Balancer.Zone; z >= 0 && z < len(cfg.Site.Zones) {
		s.Balancer.Zone = zones.Number(cfg.Site.Zones[z])
		s.Balancer.Zones = max(s.Balancer.Zones, s.Balancer.Zone+1)
	}
	if previous != nil {
		s.earlier = previous.openDeadline(s.TakenAt)
	}
	return s, nil
}

// Class returns a class of Balancer.Classes and its index there.
func (s *Snapshot) Class(name string) (class balancer.Class, index int, ok bool) {
	index, ok = s.classes[name]
	if !ok {
		return balancer.Class{}, 0, false
	}
	return s.Balancer.Classes[index], index, true
}

// TenantIndex returns the index of a tenant in Balancer.Tenants, or NoTenant.
func (s *Snapshot) TenantIndex(name string) int {
	if index, ok := s.tenants[name]; ok {
		return index
	}
	return NoTenant
}

// LongestDeadline returns the longest deadline of requests that may be open at a time after TakenAt.
func (s *Snapshot) LongestDeadline(now time.Time) time.Duration {
	if now.Before(s.earlier.until) {
		return max(s.longestDeadline, s.earlier.longest)
	}
	return s.longestDeadline
}

// openDeadline returns the longest deadline of requests that may be open at a time after TakenAt.
func (s *Snapshot) openDeadline(now time.Time) earlierDeadline {
	until := now.Add(s.longestDeadline)
	if s.earlier.until.After(until) {
		until = s.earlier.until
	}
	return earlierDeadline{longest: s.LongestDeadline(now), until: until}
}

// String returns what operators see of the settings in force.
func (s *Snapshot) String() string {
	return fmt.Sprintf("settings=%s taken=%s", s.Version, s.TakenAt.UTC().Format(timeLayout))
}

func indices(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}
