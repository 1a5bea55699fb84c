package scale

// Settings is the settings object of a proxy's configuration. The struct tags hold the names in the file; the fields
// are named as in packages balancer and settings. Durations are in microseconds.
type Settings struct {
	Rules         Rules    `json:"contract"`
	WeightUnit    string   `json:"counted_by"`
	Zones         []string `json:"failure_domains"`
	Limits        Limits   `json:"limits"`
	Membership    string   `json:"membership_mode"` // Pushed or Polled
	Zone          int      `json:"my_zone"`
	ReplicaIndex  int      `json:"ordinal"`
	Classes       []Class  `json:"profiles"`
	Replicas      int      `json:"siblings"`
	Tier          int      `json:"stage"`
	Tenants       []Tenant `json:"tenants"`
	CapacityHints string   `json:"weights"`
}

// The values of Settings.Membership: the ways in which a proxy gets updates of its endpoint list.
const (
	Pushed = "automatic" // from an agent on its machine, which responds at once
	Polled = "subscribe" // from a service that all proxies share
)

// Rules holds what backends and the discovery service require of a proxy.
type Rules struct {
	MaxPollInterval   int64   `json:"ask_every_us"`
	SlowStartDuration int64   `json:"cold_us"`
	DrainGrace        int64   `json:"drain_grace_us"`
	SlowStartCapacity float64 `json:"start_capacity"`
	SlowStartOverload float64 `json:"tip_multiple"`
}

// Limits holds the limits that the deployment sets.
type Limits struct {
	DialTimeout     int64 `json:"dial_timeout_us"`
	IdleClose       int64 `json:"idle_close_us"`
	MaxRetryAfter   int64 `json:"max_retry_after_us"`
	RetryAfterHints bool  `json:"retry_after"`
	MaxAttempts     int   `json:"try_limit"`
}

// Class is a class of requests: whether they may be repeated, their time limits and their priority.
type Class struct {
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"` // Idempotent, IdempotentWithKey or NotIdempotent
	DedupScope       string  `json:"dedup_scope,omitempty"`
	DedupWindow      int64   `json:"dedup_window_us,omitempty"`
	LatencyObjective int64   `json:"objective_us"`
	Deadline         int64   `json:"give_up_us"`
	LateFraction     float64 `json:"late_share"`
	PriorityWeight   float64 `json:"worth"`
}

// The values of Class.Idempotency.
const (
	Idempotent        = "idempotent"
	IdempotentWithKey = "deduplicated"
	NotIdempotent     = "at_most_once"
)

// Tenant is a tenant with its quotas.
type Tenant struct {
	Name          string  `json:"name"`
	QuotaFraction float64 `json:"portion"`
	RateQuota     float64 `json:"quota_per_s"`
}

// The classes and tenants of DefaultSettings.
const (
	ReadClass  = "read"
	WriteClass = "write"
	TenantA    = "tenant-a"
	TenantB    = "tenant-b"
)

// DefaultZones returns the zones of DefaultSettings, by index.
func DefaultZones() []string {
	return []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5"}
}

// Units of the durations in Settings.
const (
	microsecondsPerMillisecond = 1_000
	microsecondsPerSecond      = 1_000_000
)

// DefaultSettings returns settings that fit most experiments: two classes, two tenants whose quotas no experiment
// reaches, five zones, and one proxy of the tier. Membership is Pushed or Polled.
func DefaultSettings(membership string) Settings {
	const quota = 100_000 // requests per second
	class := func(name, idempotency string) Class {
		return Class{
			Name:             name,
			Idempotency:      idempotency,
			LatencyObjective: microsecondsPerSecond,
			Deadline:         2 * microsecondsPerSecond,
			LateFraction:     0.25,
			PriorityWeight:   1,
		}
	}
	return Settings{
		Rules: Rules{
			MaxPollInterval:   10 * microsecondsPerSecond,
			SlowStartDuration: 8 * microsecondsPerSecond,
			DrainGrace:        microsecondsPerSecond / 2,
			SlowStartCapacity: 0.3,
			SlowStartOverload: 3,
		},
		WeightUnit: "request",
		Zones:      DefaultZones(),
		Limits: Limits{
			DialTimeout:     250 * microsecondsPerMillisecond,
			IdleClose:       30 * microsecondsPerSecond,
			MaxRetryAfter:   2 * microsecondsPerSecond,
			RetryAfterHints: true,
			MaxAttempts:     4,
		},
		Membership:    membership,
		Classes:       []Class{class(ReadClass, Idempotent), class(WriteClass, NotIdempotent)},
		Replicas:      1,
		Tenants:       []Tenant{{TenantA, 0.5, quota}, {TenantB, 0.5, quota}},
		CapacityHints: "off",
	}
}
