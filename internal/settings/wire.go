package settings

import (
	"fmt"

	"baylock/balancer"
)

// The values of membership_mode: how updates of the endpoint list reach a proxy.
const (
	membershipPushed     = "automatic"
	membershipSubscribed = "subscribe"
)

// The values of profiles[].repeat: whether requests of a class may run more than once.
const (
	repeatIdempotent        = "idempotent"
	repeatIdempotentWithKey = "deduplicated"
	repeatNotIdempotent     = "at_most_once"
)

// The values of profiles[].dedup_scope: among which endpoints duplicates of a request are discarded.
const (
	dedupScopeUnset = ""
	dedupScopeTier  = "all"
	dedupScopeZone  = "zone"
	dedupScopeCell  = "cell"
)

// The values of weights for which the endpoint list has no capacity hints.
const (
	weightsUnset = ""
	weightsOff   = "off"
)

// unitWork is the value of counted_by for priority weights that apply to each unit of work instead of each
// request.
const unitWork = "work"

// wireSettings is the settings object as it is encoded in JSON. Its fields are named like those of
// balancer.Settings. Durations are in microseconds.
type wireSettings struct {
	Tier         int          `json:"stage"`
	Replicas     int          `json:"siblings"`
	ReplicaIndex int          `json:"ordinal"`
	Zone         int          `json:"my_zone"`
	Zones        []string     `json:"failure_domains"`
	Classes      []wireClass  `json:"profiles"`
	Tenants      []wireTenant `json:"tenants"`
	Limits       wireLimits   `json:"limits"`
	Rules        wireRules    `json:"contract"`

	Membership    string `json:"membership_mode"`
	CapacityHints string `json:"weights"`
	WeightUnit    string `json:"counted_by"`
}

// wireClass is a class of requests.
type wireClass struct {
	Name             string                `json:"name"`
	LatencyObjective balancer.Microseconds `json:"objective_us"`
	Deadline         balancer.Microseconds `json:"give_up_us"`
	PriorityWeight   float64               `json:"worth"`
	LateFraction     float64               `json:"late_share"`
	Idempotency      string                `json:"repeat"`
	DedupScope       string                `json:"dedup_scope"`
	DedupWindow      balancer.Microseconds `json:"dedup_window_us"`
	OrderedByKey     bool                  `json:"by_arrival"`
	StreamedResponse bool                  `json:"stream"`
}

// wireTenant is a tenant with its quotas.
type wireTenant struct {
	Name          string  `json:"name"`
	QuotaFraction float64 `json:"portion"`
	RateQuota     float64 `json:"quota_per_s"`
}

// wireLimits holds the limits that the deployment sets.
type wireLimits struct {
	DialTimeout     balancer.Microseconds `json:"dial_timeout_us"`
	IdleClose       balancer.Microseconds `json:"idle_close_us"`
	MaxAttempts     int                   `json:"try_limit"`
	RetryAfterHints bool                  `json:"retry_after"`
	MaxRetryAfter   balancer.Microseconds `json:"max_retry_after_us"`
}

// wireRules holds the rules that backends, clients and the discovery service require a proxy to follow.
type wireRules struct {
	MaxPollInterval    balancer.Microseconds `json:"ask_every_us"`
	RejectedMayRun     bool                  `json:"busy_is_no_proof"`
	OrderedKeyCooldown balancer.Microseconds `json:"order_settle_us"`
	RetryBudgetWindow  balancer.Microseconds `json:"ratio_span_us"`
	RetryBudgetRatio   float64               `json:"resend_ratio"`
	RetryBudgetMin     float64               `json:"spare_attempts"`
	DrainGrace         balancer.Microseconds `json:"drain_grace_us"`
	SlowStartDuration  balancer.Microseconds `json:"cold_us"`
	SlowStartCapacity  float64               `json:"start_capacity"`
	SlowStartOverload  float64               `json:"tip_multiple"`
}

// balancerSettings converts the object to the balancer's settings. Its errors are of type *ValueError.
func (w *wireSettings) balancerSettings() (balancer.Settings, error) {
	settings := balancer.Settings{
		Tier:                w.Tier,
		Replicas:            w.Replicas,
		ReplicaIndex:        w.ReplicaIndex,
		Zone:                w.Zone,
		Zones:               len(w.Zones),
		CapacityHints:       w.CapacityHints != weightsUnset && w.CapacityHints != weightsOff,
		PriorityPerWorkUnit: w.WeightUnit == unitWork,
		MaxAttempts:         w.Limits.MaxAttempts,

		MaxPollInterval:    w.Rules.MaxPollInterval,
		RejectedMayRun:     w.Rules.RejectedMayRun,
		OrderedKeyCooldown: w.Rules.OrderedKeyCooldown,
		RetryBudgetWindow:  w.Rules.RetryBudgetWindow,
		RetryBudgetRatio:   w.Rules.RetryBudgetRatio,
		RetryBudgetMin:     w.Rules.RetryBudgetMin,
		DrainGrace:         w.Rules.DrainGrace,
		SlowStartDuration:  w.Rules.SlowStartDuration,
		SlowStartCapacity:  w.Rules.SlowStartCapacity,
		SlowStartOverload:  w.Rules.SlowStartOverload,
	}
	if w.Limits.RetryAfterHints {
		settings.MaxRetryAfter = w.Limits.MaxRetryAfter
	}
	switch w.Membership {
	case membershipPushed:
	case membershipSubscribed:
		settings.SubscribeRequired = true
	default:
		return balancer.Settings{}, &ValueError{Path: "membership_mode", Value: w.Membership, Err: ErrUnknownValue}
	}
	for i := range w.Classes {
		class, err := w.Classes[i].balancerClass(i)
		if err != nil {
			return balancer.Settings{}, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, tenant := range w.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{
			Name:          tenant.Name,
			QuotaFraction: tenant.QuotaFraction,
			RateQuota:     tenant.RateQuota,
		})
	}
	return settings, nil
}

// balancerClass converts a class. Errors name the class by its index.
func (w *wireClass) balancerClass(index int) (balancer.Class, error) {
	idempotency, ok := parseIdempotency(w.Idempotency)
	if !ok {
		path := classPath(index, "repeat")
		return balancer.Class{}, &ValueError{Path: path, Value: w.Idempotency, Err: ErrUnknownValue}
	}
	scope, ok := parseDedupScope(w.DedupScope, idempotency)
	if !ok {
		path := classPath(index, "dedup_scope")
		return balancer.Class{}, &ValueError{Path: path, Value: w.DedupScope, Err: ErrUnknownValue}
	}
	return balancer.Class{
		Name:             w.Name,
		LatencyObjective: w.LatencyObjective,
		Deadline:         w.Deadline,
		PriorityWeight:   w.PriorityWeight,
		LateFraction:     w.LateFraction,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      w.DedupWindow,
		OrderedByKey:     w.OrderedByKey,
		StreamedResponse: w.StreamedResponse,
	}, nil
}

// classPath is the JSON path of a field of the class with the given index.
func classPath(index int, field string) string { return fmt.Sprintf("profiles[%d].%s", index, field) }

// parseIdempotency parses a value of profiles[].repeat.
func parseIdempotency(value string) (idempotency balancer.Idempotency, ok bool) {
	switch value {
	case repeatIdempotent:
		return balancer.Idempotent, true
	case repeatIdempotentWithKey:
		return balancer.IdempotentWithKey, true
	case repeatNotIdempotent:
		return balancer.NotIdempotent, true
	}
	return 0, false
}

// parseDedupScope parses a value of profiles[].dedup_scope. A class with idempotency keys and without a scope
// gets the narrowest scope, because no endpoint outside it is known to discard duplicates.
func parseDedupScope(value string, idempotency balancer.Idempotency) (scope balancer.DedupScope, ok bool) {
	switch value {
	case dedupScopeUnset:
		if idempotency == balancer.IdempotentWithKey {
			return balancer.DedupCell, true
		}
		return balancer.DedupTier, true
	case dedupScopeTier:
		return balancer.DedupTier, true
	case dedupScopeZone:
		return balancer.DedupZone, true
	case dedupScopeCell:
		return balancer.DedupCell, true
	}
	return 0, false
}
