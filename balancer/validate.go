package balancer

import "fmt"

// FieldError reports the field of Settings because of which New or Reconfigure rejected them.
type FieldError struct {
	Field   string // path within Settings, such as "Classes[2].Deadline"
	Problem string // such as "not positive"
	Value   any    // the invalid value
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("balancer: Settings.%s: %s: %v", e.Field, e.Problem, e.Value)
}

// fieldCheck is the result of checking one requirement on a field.
type fieldCheck struct {
	ok      bool
	field   string
	problem string
	value   any
}

// validate returns a *FieldError for the first field that is out of range. NaN is never in range.
func (s *Settings) validate() error {
	checks := s.proxyChecks()
	checks = append(checks, s.limitChecks()...)
	for i := range s.Classes {
		checks = append(checks, s.Classes[i].checks(fmt.Sprintf("Classes[%d].", i))...)
	}
	for i, t := range s.Tenants {
		path := fmt.Sprintf("Tenants[%d].", i)
		checks = append(checks,
			fieldCheck{t.QuotaFraction >= 0, path + "QuotaFraction", "negative", t.QuotaFraction},
			fieldCheck{t.RateQuota >= 0, path + "RateQuota", "negative", t.RateQuota})
	}
	for _, c := range checks {
		if !c.ok {
			return &FieldError{Field: c.field, Problem: c.problem, Value: c.value}
		}
	}
	return nil
}

// proxyChecks checks the settings that describe the proxy's place in the deployment.
func (s *Settings) proxyChecks() []fieldCheck {
	return []fieldCheck{
		{len(s.Classes) > 0, "Classes", "fewer than one", len(s.Classes)},
		{s.Zones >= 1, "Zones", "fewer than one", s.Zones},
		{s.Zone >= 0 && s.Zone < s.Zones, "Zone", "out of range", s.Zone},
		{s.Replicas >= 1, "Replicas", "fewer than one", s.Replicas},
		{s.ReplicaIndex >= 0, "ReplicaIndex", "negative", s.ReplicaIndex},
		{s.Tier >= 0, "Tier", "negative", s.Tier},
	}
}

// limitChecks checks limits and durations.
func (s *Settings) limitChecks() []fieldCheck {
	pollable := s.MaxPollInterval > 0 || s.MaxPollInterval == 0 && !s.SubscribeRequired
	return []fieldCheck{
		{s.MaxAttempts >= 1, "MaxAttempts", "fewer than one", s.MaxAttempts},
		{s.MaxRetryAfter >= 0, "MaxRetryAfter", "negative", s.MaxRetryAfter},
		{s.OrderedKeyCooldown >= 0, "OrderedKeyCooldown", "negative", s.OrderedKeyCooldown},
		{s.RetryBudgetWindow >= 0, "RetryBudgetWindow", "negative", s.RetryBudgetWindow},
		{s.RetryBudgetMin >= 0, "RetryBudgetMin", "negative", s.RetryBudgetMin},
		{s.RetryBudgetRatio >= 0, "RetryBudgetRatio", "negative", s.RetryBudgetRatio},
		{s.DrainGrace >= 0, "DrainGrace", "negative", s.DrainGrace},
		{pollable, "MaxPollInterval", "not positive", s.MaxPollInterval},
		{s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1, "SlowStartCapacity",
			"not between 0 and 1", s.SlowStartCapacity},
		{s.SlowStartDuration >= 0, "SlowStartDuration", "negative", s.SlowStartDuration},
		{s.SlowStartOverload >= 0, "SlowStartOverload", "negative", s.SlowStartOverload},
	}
}

// checks checks the fields of a class. Field names in the result are prefixed with path.
func (c *Class) checks(path string) []fieldCheck {
	knownIdempotency := c.Idempotency >= Idempotent && c.Idempotency <= NotIdempotent
	knownScope := c.DedupScope >= DedupTier && c.DedupScope <= DedupCell
	return []fieldCheck{
		{c.LatencyObjective > 0, path + "LatencyObjective", "not positive", c.LatencyObjective},
		{c.Deadline > 0, path + "Deadline", "not positive", c.Deadline},
		{c.PriorityWeight >= 0, path + "PriorityWeight", "negative", c.PriorityWeight},
		{c.LateFraction >= 0, path + "LateFraction", "negative", c.LateFraction},
		{knownIdempotency, path + "Idempotency", "unknown", c.Idempotency},
		{knownScope, path + "DedupScope", "unknown", c.DedupScope},
		{c.DedupWindow >= 0, path + "DedupWindow", "negative", c.DedupWindow},
	}
}
