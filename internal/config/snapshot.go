package config

import (
	"fmt"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/settings"
)

// timeLayout is the format of the time, in UTC, at which a snapshot was taken.
const timeLayout = "2006-01-02T15:04:05.000Z"

// NoTenant is the index of a tenant that is not listed in the settings.
const NoTenant = -1

// Snapshot is the part of a configuration that a reload can change, validated and ready for use. It is immutable: a
// reload replaces it with a new one, and each request is parsed and handled with a single snapshot.
type Snapshot struct {
	Site     *settings.Site
	Balancer balancer.Settings // Site.Balancer, but with the zone numbers of the start of the process
	Limits   Limits
	Version  string // identifies the content of limits and settings
	TakenAt  time.Time

	classes         map[string]int // indices by name
	tenants         map[string]int
	longestDeadline time.Duration // over all classes
	earlier         earlierDeadline
}

// earlierDeadline is the longest deadline of the requests that arrived under earlier snapshots. It applies until the
// deadlines of all of them have passed.
type earlierDeadline struct {
	longest time.Duration
	until   time.Time
}

// NewSnapshot validates a configuration, except for what the balancer validates itself. previous is the snapshot that
// the new one replaces, or nil at the start of the process; zones holds the zone numbers of the start.
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
		classes:  indexByName(cfg.Site.Classes),
		tenants:  indexByName(cfg.Site.Tenants),
	}
	for _, c := range s.Balancer.Classes {
		s.longestDeadline = max(s.longestDeadline, c.Deadline.Duration())
	}
	// The balancer compares the zones of endpoints and attempts by number, so the numbers must not change while the
	// process runs.
	if z := s.Balancer.Zone; z >= 0 && z < len(cfg.Site.Zones) {
		s.Balancer.Zone = zones.Number(cfg.Site.Zones[z])
		s.Balancer.Zones = max(s.Balancer.Zones, s.Balancer.Zone+1)
	}
	if previous != nil {
		s.earlier = previous.openDeadline(s.TakenAt)
	}
	return s, nil
}

// Class returns the class with this name and its index in Balancer.Classes.
func (s *Snapshot) Class(name string) (class balancer.Class, index int, ok bool) {
	index, ok = s.classes[name]
	if !ok {
		return balancer.Class{}, 0, false
	}
	return s.Balancer.Classes[index], index, true
}

// TenantIndex returns the index of the tenant with this name in Balancer.Tenants, or NoTenant.
func (s *Snapshot) TenantIndex(name string) int {
	if index, ok := s.tenants[name]; ok {
		return index
	}
	return NoTenant
}

// LongestDeadline returns the longest deadline of the requests that may be open at now, which must not be before TakenAt.
func (s *Snapshot) LongestDeadline(now time.Time) time.Duration {
	if now.Before(s.earlier.until) {
		return max(s.longestDeadline, s.earlier.longest)
	}
	return s.longestDeadline
}

// openDeadline returns what a snapshot that replaces s at now has to keep: the longest deadline of the requests that
// may be open then, and when the last of them has passed its deadline.
func (s *Snapshot) openDeadline(now time.Time) earlierDeadline {
	until := now.Add(s.longestDeadline)
	if s.earlier.until.After(until) {
		until = s.earlier.until
	}
	return earlierDeadline{longest: s.LongestDeadline(now), until: until}
}

// String describes the settings in force to operators.
func (s *Snapshot) String() string {
	return fmt.Sprintf("settings=%s taken=%s", s.Version, s.TakenAt.UTC().Format(timeLayout))
}

// indexByName maps each name to its index.
func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}
