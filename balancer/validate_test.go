package balancer

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestNewRejectsSettingsOutOfRange(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"Zone":                        func(s *Settings) { s.Zone = 2 },
		"Zones":                       func(s *Settings) { s.Zones = 0 },
		"Tier":                        func(s *Settings) { s.Tier = -1 },
		"DrainGrace":                  func(s *Settings) { s.DrainGrace = -1 },
		"RetryBudgetWindow":           func(s *Settings) { s.RetryBudgetWindow = -1 },
		"RetryBudgetMin":              func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"RetryBudgetRatio":            func(s *Settings) { s.RetryBudgetRatio = -1 },
		"MaxPollInterval":             func(s *Settings) { s.SubscribeRequired = true },
		"SlowStartCapacity":           func(s *Settings) { s.SlowStartCapacity = math.NaN() },
		"Classes[1].LatencyObjective": func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"Classes[2].Deadline":         func(s *Settings) { s.Classes[2].Deadline = 0 },
		"Classes[0].Idempotency":      func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[0].DedupScope":       func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Classes[4].DedupWindow":      func(s *Settings) { s.Classes[4].DedupWindow = -1 },
		"Classes[4].LateFraction":     func(s *Settings) { s.Classes[4].LateFraction = -1 },
		"Tenants[1].QuotaFraction":    func(s *Settings) { s.Tenants = []Tenant{{}, {QuotaFraction: -1}} },
		"Tenants[0].RateQuota":        func(s *Settings) { s.Tenants = []Tenant{{RateQuota: math.NaN()}} },
	} {
		t.Run(field, func(t *testing.T) {
			s := testSettings()
			invalidate(&s)
			_, err := New(s, 1)
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != field {
				t.Fatalf("New returned error %v, want a FieldError for %s", err, field)
			}
			if !strings.HasPrefix(err.Error(), "balancer: Settings."+field+": ") {
				t.Errorf("error text is %q, want it to start with the field's path", err)
			}
		})
	}
}
