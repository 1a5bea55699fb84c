package balancer

// Idempotency states whether requests of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // carries an idempotency key, which endpoints use for deduplication
	NotIdempotent                        // must never be executed twice
)

// DedupScope is the set of endpoints that share deduplication state for IdempotentWithKey requests.
type DedupScope int

// The dedup scopes.
const (
	DedupTier DedupScope = iota // all endpoints of the tier
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string       // identifies the class across Reconfigure; if empty, its index does
	LatencyObjective Microseconds // a response within this time has its full priority; positive
	Deadline         Microseconds // the longest that a client waits, over all attempts; positive
	PriorityWeight   float64      // priority of one request
	LateFraction     float64      // fraction of the priority for responses between objective and deadline
	Idempotency      Idempotency
	DedupScope       DedupScope   // used with IdempotentWithKey
	DedupWindow      Microseconds // with IdempotentWithKey: how long repeats are dropped after the first send
	OrderedByKey     bool         // requests with the same key run one at a time, in order of arrival
	StreamedResponse bool         // a response that has started has no deadline
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name          string  // identifies the tenant across Reconfigure; if empty, its index does
	QuotaFraction float64 // its fraction of the rate allowed to all tenants together
	RateQuota     float64 // requests per second within its quota, over all replicas of the proxy
}

// Settings configure a Balancer. New takes the initial settings, and Reconfigure replaces them.
type Settings struct {
	Tier              int // the tier that this proxy sends to; 0 is the front tier
	Replicas          int // number of proxies of this tier, including this one; at least 1
	ReplicaIndex      int // this proxy's index among the replicas, from 0
	Zone              int // this proxy's zone, from 0
	Zones             int // number of zones; at least 1
	Classes           []Class
	Tenants           []Tenant // may be empty
	SubscribeRequired bool     // Host.Subscribe is needed for updates of the endpoint list
	CapacityHints     bool     // Endpoint.Capacity is meaningful; otherwise it is ignored

	MaxAttempts        int          // maximum number of attempts for one request; at least 1
	OrderedKeyCooldown Microseconds // OrderedByKey: how long a key pauses after a timeout, reset or cancel
	RejectedMayRun     bool         // Rejected does not prove that an attempt never ran

	// In any period of RetryBudgetWindow, the number of retries is at most RetryBudgetMin plus
	// RetryBudgetRatio times the number of requests that arrive in that period. A RetryBudgetWindow of 0
	// selects the default budget.
	RetryBudgetWindow Microseconds
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter   Microseconds // the longest Retry-After that clients honor; 0 if they honor none
	DrainGrace      Microseconds // time within which sends to a draining or removed endpoint must stop
	MaxPollInterval Microseconds // with SubscribeRequired: the longest time without a subscription or poll

	SlowStartCapacity float64      // minimum fraction of its capacity that a new endpoint has; from 0 to 1
	SlowStartOverload float64      // load that an endpoint in slow start can take, relative to capacity
	SlowStartDuration Microseconds // maximum time until an endpoint is warm

	PriorityPerWorkUnit bool // Class.PriorityWeight applies to each unit of work, not to each request
}
