package balancer

import "slices"

// How new settings replace those in force. This file keeps books; it decides nothing.

// Reconfigure puts other settings in force, for all that is decided from now on. They are checked whole first: on an
// error nothing has changed.
//
// Classes and tenants are known again by their names. What was learned of those that stay, of servers and of the tier is
// kept; what is new begins as in New. A request that has come keeps its class as it was then, also where that class is
// now gone, and an attempt the settings that it was decided under. Nothing is sent, ended or drawn here.
func (b *Balancer) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	// Counts and shares that one tier has taught mean nothing in another.
	if s.Tier != b.settings.Tier {
		return &FieldError{Field: "Tier", Problem: "a change needs a restart", Value: s.Tier}
	}
	// What was asked of the subscription before would never be answered, or what is told now was never asked for.
	if s.SubscribeRequired != b.settings.SubscribeRequired {
		return &FieldError{Field: "SubscribeRequired", Problem: "a change needs a restart", Value: s.SubscribeRequired}
	}
	ordinal := b.settings.ReplicaIndex
	b.configure(s)
	if s.ReplicaIndex != ordinal {
		b.relist()
	}
	return nil
}

// configure puts valid settings in force.
func (b *Balancer) configure(s Settings) {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = defaultRetryBudgetWindow, defaultRetryBudgetMin, defaultRetryBudgetRatio
	}
	old := b.settings
	b.settings = &s
	b.replaceClasses(old.Classes)
	b.replaceTenants(old.Tenants)
	b.bound()
}

// replaceClasses gathers the states of the settings' classes: what is known of those that stay, and fresh ones.
func (b *Balancer) replaceClasses(old []Class) {
	before, after := classNames(old), classNames(b.settings.Classes)
	var states []*classState
	for i, from := range matchNames(before, after) {
		first := firstMean * float64(b.settings.Classes[i].LatencyObjective)
		if from < 0 {
			rule := concurrencyLimit{max: initialLimit}
			states = append(states, &classState{slot: noSlot, limit: rule, meanLatency: first, unloadedLatency: first})
			continue
		}
		c := b.classes[from]
		if c.successes == 0 && old[from].LatencyObjective != b.settings.Classes[i].LatencyObjective { // its times were a guess
			c.meanLatency, c.unloadedLatency = first, first
		}
		states = append(states, c)
	}
	for _, c := range b.classes {
		if !slices.Contains(states, c) {
			c.slot = noSlot
		}
	}
	b.classes = states
	for _, c := range states {
		if c.slot == noSlot {
			b.assignSlot(c)
		}
	}
}

// assignSlot gives a new class the lowest place that none has, and drops what servers have there of an earlier one.
func (b *Balancer) assignSlot(c *classState) {
	slot := 0
	for slices.ContainsFunc(b.classes, func(x *classState) bool { return x.slot == slot }) {
		slot++
	}
	c.slot, b.slots = slot, max(b.slots, slot+1)
	for _, s := range b.all {
		*s.classHealth(c) = endpointHealth{factor: 1}
	}
}

// replaceTenants does the same for tenants.
func (b *Balancer) replaceTenants(old []Tenant) {
	before, after := tenantNames(old), tenantNames(b.settings.Tenants)
	var origins []*tenantQuota
	b.fairRate = 0
	for i, from := range matchNames(before, after) {
		t := &tenantQuota{}
		if from >= 0 {
			t = b.tenants[from]
		}
		t.fraction = b.settings.Tenants[i].QuotaFraction
		origins = append(origins, t)
		// A copy that carries more than its part learns a higher multiple.
		b.fairRate += b.settings.Tenants[i].RateQuota / float64(b.settings.Replicas)
	}
	b.tenants = origins
}

func classNames(classes []Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

func tenantNames(tenants []Tenant) (names []string) {
	for _, t := range tenants {
		names = append(names, t.Name)
	}
	return names
}

// matchNames tells where each name stood before, -1 if nowhere. Where one is empty, places stand for names.
func matchNames(before, after []string) []int {
	from := make([]int, len(after))
	for i, name := range after {
		from[i] = -1
		if name != "" {
			from[i] = slices.Index(before, name)
		}
		if from[i] < 0 && i < len(before) && (name == "" || before[i] == "") {
			from[i] = i
		}
		if slices.Contains(from[:i], from[i]) { // the name is given twice
			from[i] = -1
		}
	}
	return from
}
