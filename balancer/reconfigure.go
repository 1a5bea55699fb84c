package balancer

import "slices"

// Reconfigure replaces the settings for all subsequent decisions. The new settings are validated before
// anything changes; an error is a *FieldError. Tier and SubscribeRequired cannot change.
//
// Classes and tenants are identified by their names. The learned state of those that remain, of endpoints and
// of the tier is kept; new classes and tenants start as in New. A request that has already arrived keeps its
// class as it was on arrival, even if the class has been removed, and an attempt keeps the settings under
// which it was decided. Reconfigure does not call the Host and uses no random numbers.
func (b *Balancer) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	const needsRestart = "a change needs a restart"
	// Limits and quotas learned in one tier are meaningless in another.
	if s.Tier != b.settings.Tier {
		return &FieldError{Field: "Tier", Problem: needsRestart, Value: s.Tier}
	}
	// A requested subscription would never be answered, or one would be answered that was never requested.
	if s.SubscribeRequired != b.settings.SubscribeRequired {
		return &FieldError{Field: "SubscribeRequired", Problem: needsRestart, Value: s.SubscribeRequired}
	}
	indexChanged := s.ReplicaIndex != b.settings.ReplicaIndex
	b.configure(s)
	if indexChanged {
		b.endpoints.refresh()
	}
	return nil
}

// configure applies settings that have been validated.
func (b *Balancer) configure(s Settings) {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	s.setDefaultRetryBudget()
	before := b.settings
	b.settings = &s
	b.endpoints.replicaIndex = s.ReplicaIndex
	b.replaceClasses(before.Classes)
	b.quotas.replaceTenants(before.Tenants, b.settings)
	b.configureEvidence()
}

// replaceClasses sets up the states of the settings' classes. Classes that remain keep their state, and new
// classes get an initial one.
func (b *Balancer) replaceClasses(before []Class) {
	var states []*classState
	for i, from := range matchNames(classNames(before), classNames(b.settings.Classes)) {
		class := &b.settings.Classes[i]
		if from < 0 {
			states = append(states, newClassState(class))
			continue
		}
		state := b.classes[from]
		if state.latency.successes == 0 && before[from].LatencyObjective != class.LatencyObjective {
			state.latency.initFromObjective(class.LatencyObjective)
		}
		states = append(states, state)
	}
	for _, state := range b.classes {
		if !slices.Contains(states, state) {
			state.slot = noSlot
		}
	}
	b.classes = states
	for _, state := range states {
		if state.slot == noSlot {
			b.assignSlot(state)
		}
	}
}

// assignSlot assigns the lowest free slot to a new class, and clears the endpoints' health that an earlier
// class has left in that slot.
func (b *Balancer) assignSlot(state *classState) {
	slot := 0
	for slices.ContainsFunc(b.classes, func(other *classState) bool { return other.slot == slot }) {
		slot++
	}
	state.slot, b.endpoints.classSlots = slot, max(b.endpoints.classSlots, slot+1)
	for _, ep := range b.endpoints.all {
		*ep.classHealth(state) = endpointHealth{factor: 1}
	}
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

// matchNames returns for each name in after its index in before, or -1 if it has none. If one of two names at
// the same index is empty, the names match by index.
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
		if slices.Contains(from[:i], from[i]) { // an earlier name has already matched this index
			from[i] = -1
		}
	}
	return from
}
