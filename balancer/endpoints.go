package balancer

// endpoint is an entry of the endpoint list and the learned state of the endpoint.
type endpoint struct {
	Endpoint
	ringPosition          uint64
	inFlight              int              // attempts of this replica that have not ended, including uploads
	relativeLatency       float64          // moving average over successes, relative to the class's mean
	overall               endpointHealth   // applies to all classes
	perClass              []endpointHealth // indexed by classState.slot
	attachedAt            Microseconds     // when operators last attached it; 0: never
	reintroductionPending bool             // it has received no call since attachedAt
}

// reset discards the learned state of an endpoint.
func (ep *endpoint) reset(classSlots int) {
	ep.relativeLatency, ep.overall, ep.perClass = 1, endpointHealth{factor: 1}, nil
	ep.reserveSlots(classSlots)
}

// reserveSlots extends perClass to at least classSlots entries.
func (ep *endpoint) reserveSlots(classSlots int) {
	for len(ep.perClass) < classSlots {
		ep.perClass = append(ep.perClass, endpointHealth{factor: 1})
	}
}

// classHealth returns the endpoint's health for a class. For a class that is no longer in the settings, it
// returns a temporary value that is not stored.
func (ep *endpoint) classHealth(class *classState) *endpointHealth {
	if class.slot == noSlot {
		return &endpointHealth{factor: 1}
	}
	ep.reserveSlots(class.slot + 1) // an unlisted endpoint got no slot when the class was added
	return &ep.perClass[class.slot]
}

// healthFactor returns the endpoint's health for requests of a class: its overall health times that for the
// class.
func (ep *endpoint) healthFactor(class *classState) float64 {
	return ep.overall.factor * ep.classHealth(class).factor
}

// endpointList holds the endpoints of the endpoint list, and the IDs that operators have detached.
type endpointList struct {
	byID             map[string]*endpoint
	all              []*endpoint             // in order of first listing
	ready            []*endpoint             // those eligible for new attempts, this replica's subset first
	detached         map[string]bool         // IDs detached by operators, listed or not
	attachedUnlisted map[string]Microseconds // when operators attached an unlisted ID
	classSlots       int                     // every classState.slot is less than this
	replicaIndex     int                     // Settings.ReplicaIndex
}

func newEndpointList() endpointList {
	return endpointList{byID: map[string]*endpoint{}, detached: map[string]bool{},
		attachedUnlisted: map[string]Microseconds{}}
}

// update applies an update of the endpoint list other than FailedUpdate.
func (l *endpointList) update(kind UpdateKind, entries []Endpoint) {
	if kind != IncrementalUpdate {
		for _, ep := range l.all {
			ep.State = Removed // unless listed below
		}
	}
	for _, e := range entries {
		l.applyEntry(e)
	}
	l.refresh()
}

// applyEntry adds or changes one endpoint. It discards the endpoint's learned state if the endpoint's process
// has restarted.
func (l *endpointList) applyEntry(e Endpoint) {
	ep := l.byID[e.ID]
	if ep == nil {
		attachedAt := l.attachedUnlisted[e.ID]
		ep = &endpoint{
			ringPosition:          ringPosition(e.ID),
			attachedAt:            attachedAt,
			reintroductionPending: attachedAt > 0,
		}
		delete(l.attachedUnlisted, e.ID)
		l.byID[e.ID] = ep
		l.all = append(l.all, ep)
	}
	if ep.ID == "" || ep.StartedAt != e.StartedAt {
		ep.reset(l.classSlots)
	}
	ep.Endpoint = e
}
