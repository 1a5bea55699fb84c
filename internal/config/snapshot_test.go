package config

import (
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/settings"
)

const siteText = `{"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,"try_limit":3},` +
	`"membership_mode":"automatic","profiles":[` +
	`{"give_up_us":8000000,"name":"look","objective_us":4000000,"repeat":"idempotent","worth":1},` +
	`{"give_up_us":2000000,"name":"post","objective_us":1000000,"repeat":"at_most_once","worth":1}],` +
	`"siblings":1,"tenants":[{"name":"acme","portion":1,"quota_per_s":1000}]}`

func decodeSite(t *testing.T) *settings.Site {
	t.Helper()
	site, err := settings.Decode([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// takeSnapshot returns a snapshot of the site's settings that replaces previous, which may be nil.
func takeSnapshot(t *testing.T, site *settings.Site, zones discovery.Zones, previous *Snapshot) *Snapshot {
	t.Helper()
	s, err := NewSnapshot(Config{Limits: Limits{Sockets: 200}, Site: site}, zones, previous)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Zones keep their numbers whatever the order in the settings, including zones that only later settings list.
func TestSnapshotKeepsZoneNumbers(t *testing.T) {
	zones := discovery.NewZones([]string{"a", "b"})
	site := decodeSite(t)
	number := func(mine int, names ...string) int {
		t.Helper()
		site.Zones, site.Balancer.Zones, site.Balancer.Zone = names, len(names), mine
		s := takeSnapshot(t, site, zones, nil)
		if _, err := balancer.New(s.Balancer, 1); err != nil {
			t.Error(err)
		}
		return s.Balancer.Zone
	}
	if a, b := number(0, "a", "b"), number(1, "a", "b"); a != 0 || b != 1 {
		t.Errorf("zone a has number %d, zone b %d", a, b)
	}
	if got := number(0, "b", "a"); got != 1 {
		t.Errorf("zone b has changed its number to %d", got)
	}
	server := zones.Endpoints([]discovery.Endpoint{{Name: "s", Zone: "c"}})[0]
	if got := number(2, "b", "a", "c"); got != server.Zone {
		t.Errorf("zone c has number %d, its endpoint is in zone %d", got, server.Zone)
	}
}

func TestSnapshotFindsClassesAndTenantsByName(t *testing.T) {
	s := takeSnapshot(t, decodeSite(t), discovery.NewZones(nil), nil)
	if class, i, ok := s.Class("post"); !ok || i != 1 || class.Idempotency != balancer.NotIdempotent {
		t.Errorf("class post: got index %d, found %v", i, ok)
	}
	if _, _, ok := s.Class("none"); ok {
		t.Error("an unknown class was found")
	}
	if a, b := s.TenantIndex("acme"), s.TenantIndex("none"); a != 0 || b != NoTenant {
		t.Errorf("tenant indices: got %d and %d", a, b)
	}
}

func TestSnapshotKeepsLongestDeadlineOfEarlierRequests(t *testing.T) {
	const longDeadline, shortDeadline = 8 * time.Second, 50 * time.Millisecond
	zones := discovery.NewZones(nil)
	first := takeSnapshot(t, decodeSite(t), zones, nil)
	short := decodeSite(t)
	for i := range short.Balancer.Classes {
		short.Balancer.Classes[i].Deadline = balancer.Microseconds(shortDeadline / time.Microsecond)
	}
	second := takeSnapshot(t, short, zones, first)
	third := takeSnapshot(t, short, zones, second)
	for name, c := range map[string]struct {
		snapshot *Snapshot
		at       time.Time
		want     time.Duration
	}{
		"first":           {first, first.TakenAt, longDeadline},
		"second, at once": {second, second.TakenAt, longDeadline},
		"second, after the first's last deadline": {second, second.TakenAt.Add(longDeadline), shortDeadline},
		"third, before the first's last deadline": {third, second.TakenAt.Add(longDeadline - time.Nanosecond), longDeadline},
		"third, after the first's last deadline":  {third, second.TakenAt.Add(longDeadline), shortDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.snapshot.LongestDeadline(c.at); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
