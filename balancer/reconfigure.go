package balancer

import "slices"

// Reconfigure puts other settings in force, for all that is decided from now on. They are validated
// before anything changes; an error is a *FieldError. Tier and SubscribeRequired cannot change.
//
// Classes and tenants are identified by their names. What was learned of those that stay, of endpoints and of
// the tier is kept; new ones begin as in New. A request that has arrived keeps its class as it was then, also
// where that class is gone now, and an attempt the settings that it was decided under. Reconfigure calls no
// Host and draws no random numbers.
func (b *Balancer) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	const needsRestart = "a change needs a restart"
	// Limits and quotas that one tier has taught mean nothing in another.
	if s.Tier != b.settings.Tier {
		return &FieldError{Field: "Tier", Problem: needsRestart, Value: s.Tier}
	}
	// A subscription that was requested would never be answered, or one be answered that was not requested.
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

// configure puts valid settings in force.
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

// replaceClasses gathers the states of the settings' classes: those of classes that stay, and fresh ones.
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

// assignSlot gives a new class the lowest free slot, and drops what endpoints have there of an earlier class.
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

// matchNames returns at which index each name stood before, -1 if at none. Where one of two names is empty,
// indexes identify them.
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
