package balancer

// endpoint is an entry of the endpoint list with what was learned of it.
type endpoint struct {
	Endpoint
	ringPosition          uint64
	inFlight              int              // attempts of this replica without outcome
	relativeLatency       float64          // running latency of its successes relative to the class's mean
	overall               endpointHealth   // for all classes
	perClass              []endpointHealth // by classState.slot
	attachedAt            Microseconds     // when operators last attached it; 0: never
	reintroductionPending bool             // it has got nothing since then
}

// reset drops what was learned of an endpoint.
func (ep *endpoint) reset(classSlots int) {
	ep.relativeLatency, ep.overall, ep.perClass = 1, endpointHealth{factor: 1}, nil
	ep.reserveSlots(classSlots)
}

// reserveSlots extends perClass to that many slots.
func (ep *endpoint) reserveSlots(classSlots int) {
	for len(ep.perClass) < classSlots {
		ep.perClass = append(ep.perClass, endpointHealth{factor: 1})
	}
}

// classHealth is the endpoint's health for a class. It keeps none of a class that the settings no longer
// have.
func (ep *endpoint) classHealth(class *classState) *endpointHealth {
	if class.slot == noSlot {
		return &endpointHealth{factor: 1}
	}
	ep.reserveSlots(class.slot + 1) // an endpoint off the list was not extended when the class was added
	return &ep.perClass[class.slot]
}

// healthFactor is the endpoint's health for requests of a class, over all its failures.
func (ep *endpoint) healthFactor(class *classState) float64 {
	return ep.overall.factor * ep.classHealth(class).factor
}

// endpointList holds the endpoints that the endpoint list names, and which of them operators have detached.
type endpointList struct {
	byID             map[string]*endpoint
	all              []*endpoint             // in order of first listing
	ready            []*endpoint             // those that new attempts may go to, this replica's subset first
	detached         map[string]bool         // by operators, listed or not
	attachedUnlisted map[string]Microseconds // attached by operators while not listed, and when
	classSlots       int                     // classState.slot is less
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
		l.put(e)
	}
	l.refresh()
}

// put applies one entry. What was learned of an endpoint is dropped when its process has restarted.
func (l *endpointList) put(e Endpoint) {
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
