package scale

// Settings is the settings object of a proxy's configuration, in the form and the units in which proxies read it.
type Settings struct {
	Contract   Contract  `json:"contract"`
	CountedBy  string    `json:"counted_by"`
	Zones      []string  `json:"failure_domains"`
	Limits     Limits    `json:"limits"`
	Membership string    `json:"membership_mode"` // Pushed or Asked
	Zone       int       `json:"my_zone"`
	Ordinal    int       `json:"ordinal"`
	Profiles   []Profile `json:"profiles"`
	Siblings   int       `json:"siblings"`
	Stage      int       `json:"stage"`
	Tenants    []Tenant  `json:"tenants"`
	Weights    string    `json:"weights"`
}

// The ways in which a proxy gets its list.
const (
	Pushed = "automatic" // an agent on its machine answers at once
	Asked  = "subscribe" // from a service that all proxies share
)

// Contract holds the figures of the rules.
type Contract struct {
	AskEvery      int64   `json:"ask_every_us"`
	Cold          int64   `json:"cold_us"`
	DrainGrace    int64   `json:"drain_grace_us"`
	StartCapacity float64 `json:"start_capacity"`
	TipMultiple   float64 `json:"tip_multiple"`
}

// Limits is what a site permits.
type Limits struct {
	DialTimeout   int64 `json:"dial_timeout_us"`
	IdleClose     int64 `json:"idle_close_us"`
	MaxRetryAfter int64 `json:"max_retry_after_us"`
	RetryAfter    bool  `json:"retry_after"`
	TryLimit      int   `json:"try_limit"`
}

// Profile is a class of calls.
type Profile struct {
	Name      string  `json:"name"`
	Repeat    string  `json:"repeat"` // Idempotent, Deduplicated or AtMostOnce
	Scope     string  `json:"dedup_scope,omitempty"`
	Window    int64   `json:"dedup_window_us,omitempty"`
	Objective int64   `json:"objective_us"`
	GiveUp    int64   `json:"give_up_us"`
	LateShare float64 `json:"late_share"`
	Worth     float64 `json:"worth"`
}

// How often a call of a class may run.
const (
	Idempotent   = "idempotent"
	Deduplicated = "deduplicated"
	AtMostOnce   = "at_most_once"
)

// Tenant is one origin of calls.
type Tenant struct {
	Name    string  `json:"name"`
	Portion float64 `json:"portion"`
	Quota   float64 `json:"quota_per_s"`
}

// The classes, tenants and zones of DefaultSettings.
const (
	ReadClass  = "read"
	WriteClass = "write"
	TenantA    = "tenant-a"
	TenantB    = "tenant-b"
)

// DefaultZones are the zones of DefaultSettings, by index.
func DefaultZones() []string {
	return []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5"}
}

// DefaultSettings gives settings that fit most experiments: two classes, two tenants whose quotas no experiment
// reaches, five zones, and one proxy to the tier. Membership is Pushed or Asked.
func DefaultSettings(membership string) Settings {
	const (
		second      = 1_000_000
		millisecond = 1_000
		quota       = 100_000
	)
	return Settings{
		Contract: Contract{AskEvery: 10 * second, Cold: 8 * second, DrainGrace: second / 2, StartCapacity: 0.3,
			TipMultiple: 3},
		CountedBy: "request",
		Zones:     DefaultZones(),
		Limits: Limits{DialTimeout: 250 * millisecond, IdleClose: 30 * second, MaxRetryAfter: 2 * second,
			RetryAfter: true, TryLimit: 4},
		Membership: membership,
		Profiles: []Profile{
			{Name: ReadClass, Repeat: Idempotent, Objective: second, GiveUp: 2 * second, LateShare: 0.25, Worth: 1},
			{Name: WriteClass, Repeat: AtMostOnce, Objective: second, GiveUp: 2 * second, LateShare: 0.25, Worth: 1},
		},
		Siblings: 1,
		Tenants:  []Tenant{{TenantA, 0.5, quota}, {TenantB, 0.5, quota}},
		Weights:  "off",
	}
}
