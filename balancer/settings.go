package balancer

// Idempotency is how often requests of a class may run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // carries an idempotency key, by which endpoints drop repeats
	NotIdempotent                        // must never run twice
)

// DedupScope is the set of endpoints that drop repeats of IdempotentWithKey requests between them.
type DedupScope int

// The dedup scopes.
const (
	DedupTier DedupScope = iota // all endpoints of the tier
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string       // identifies the class across Reconfigure; its index does if empty
	LatencyObjective Microseconds // an answer within this has its full priority; positive
	Deadline         Microseconds // the longest that a client waits, all attempts included; positive
	PriorityWeight   float64      // priority of one request
	LateFraction     float64      // part of the priority that an answer has between objective and deadline
	Idempotency      Idempotency
	DedupScope       DedupScope   // with IdempotentWithKey
	DedupWindow      Microseconds // with IdempotentWithKey: how long repeats are dropped, from the first send on
	OrderedByKey     bool         // requests with one key run one at a time, in order of arrival
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name          string  // identifies the tenant across Reconfigure; its index does if empty
	QuotaFraction float64 // its part of what all tenants may send
	RateQuota     float64 // requests a second within its quota, over all replicas of the proxy
}

// Settings configure a Balancer. New takes the first ones, Reconfigure replaces them.
type Settings struct {
	Tier              int // the tier that this proxy sends to; 0 is the front
	Replicas          int // proxies of this tier, this one included; at least 1
	ReplicaIndex      int // this proxy's number among them, from 0
	Zone              int // this proxy's zone, from 0
	Zones             int // how many there are; at least 1
	Classes           []Class
	Tenants           []Tenant // may be empty
	SubscribeRequired bool     // the endpoint list comes only after Host.Subscribe
	CapacityHints     bool     // Endpoint.Capacity compares endpoints; otherwise it says nothing

	MaxAttempts        int          // attempts for one request at most; at least 1
	OrderedKeyCooldown Microseconds // OrderedByKey: a key pauses this long after a time-out, reset or cancel
	RejectedMayRun     bool         // Rejected is no proof that an attempt never ran

	// In any RetryBudgetWindow, retries number at most RetryBudgetMin plus RetryBudgetRatio times the
	// requests that arrive in it. A RetryBudgetWindow of 0 selects the default budget.
	RetryBudgetWindow Microseconds
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter   Microseconds // the longest Retry-After that clients heed; 0: they heed none
	DrainGrace      Microseconds // sends to a draining or removed endpoint must have stopped by then
	MaxPollInterval Microseconds // with SubscribeRequired: the longest time without a subscription or a poll

	SlowStartCapacity float64      // part of its capacity that an endpoint starts with, at least; from 0 to 1
	SlowStartOverload float64      // an endpoint in slow start bears at most this many times its capacity
	SlowStartDuration Microseconds // an endpoint is warm after this at the latest

	PriorityPerWorkUnit bool // Class.PriorityWeight counts for each unit of work, not for each request
}
