package main

import (
	"encoding/json"
	"fmt"

	"baylock/balancer"
)

// wireEvent is one line of input: an object with a single key, the event's name. Fields that an event must
// have are pointers, so that a missing one is detected. Times and durations are in microseconds.
type wireEvent struct {
	BatchStart       *wireBatchStart      `json:"mark"`
	BatchEnd         *struct{}            `json:"your_turn"`
	EndpointList     *wireEndpointList    `json:"ledger"`
	InstanceStarted  *wireInstanceStarted `json:"new_instance"`
	InstanceStopped  *wireInstance        `json:"power_off"`
	EndpointsUpdate  *wireEndpointsUpdate `json:"membership"`
	RequestArrived   *wireRequest         `json:"job_in"`
	ResponseStarted  *wireRequestID       `json:"established"`
	AttemptEnded     *wireOutcome         `json:"completed"`
	RequestCancelled *wireRequestID       `json:"withdrawn"`
	TimerFired       *wireTimer           `json:"tick_due"`
	HealthChecked    *wireInstance        `json:"probe_done"` // ignored: the balancer sends no health checks
	PeerMessage      *wireInstance        `json:"message"`    // ignored: replicas send each other no messages
}

// The names of the events, for errors.
const (
	eventBatchStart       = "mark"
	eventEndpointList     = "ledger"
	eventInstanceStarted  = "new_instance"
	eventInstanceStopped  = "power_off"
	eventEndpointsUpdate  = "membership"
	eventRequestArrived   = "job_in"
	eventResponseStarted  = "established"
	eventAttemptEnded     = "completed"
	eventRequestCancelled = "withdrawn"
	eventTimerFired       = "tick_due"
	eventHealthChecked    = "probe_done"
	eventPeerMessage      = "message"
)

// wireBatchStart begins a batch. All events of the batch happen at this time.
type wireBatchStart struct {
	Time *balancer.Microseconds `json:"time_us"`
}

// wireInstance is an event of which only the instance is used.
type wireInstance struct {
	Instance *string `json:"who"`
}

// wireRequestID is an event of which only the instance and the request ID are used.
type wireRequestID struct {
	Instance  *string `json:"who"`
	RequestID *string `json:"ticket"`
}

// wireInstanceStarted starts an instance, which has no state yet.
type wireInstanceStarted struct {
	Instance *string         `json:"who"`
	Seed     *uint64         `json:"salt"`
	Settings json.RawMessage `json:"options"`
}

// wireEndpointList is a numbered list of endpoints, to which later updates refer.
type wireEndpointList struct {
	Number    *int            `json:"roster_id"`
	Endpoints *[]wireEndpoint `json:"elements"`
}

type wireEndpoint struct {
	ID        *string               `json:"backend"`
	Zone      *int                  `json:"dc"`
	Cell      int                   `json:"pack"`
	State     *int                  `json:"state"`
	Capacity  *float64              `json:"power_hint"`
	StartedAt balancer.Microseconds `json:"launched_us"`
}

// wireEndpointsUpdate updates the endpoints of an instance from a numbered list.
type wireEndpointsUpdate struct {
	Instance   *string `json:"who"`
	Kind       *int    `json:"how"`
	ListNumber *int    `json:"roster_id"`
}

type wireRequest struct {
	Instance  *string                `json:"who"`
	RequestID *string                `json:"ticket"`
	Class     *int                   `json:"band"`
	Tenant    int                    `json:"owner"`
	Key       string                 `json:"affinity"`
	Deadline  *balancer.Microseconds `json:"give_up_at_us"`
}

type wireOutcome struct {
	Instance    *string               `json:"who"`
	RequestID   *string               `json:"ticket"`
	Attempt     *int                  `json:"go"`
	Code        *int                  `json:"verdict"`
	Latency     balancer.Microseconds `json:"took_us"`
	RequestDone bool                  `json:"terminal"`
}

type wireTimer struct {
	Instance *string `json:"who"`
	Token    *string `json:"nonce"`
}

// The outcome codes of an attempt.
const (
	codeOK            = 200
	codeNotAttempted  = 410
	codeCancelled     = 499
	codeError         = 500
	codeConnectFailed = 502
	codeRejected      = 503
	codeTimedOut      = 504
	codeReset         = 598
)

var statusOfCode = map[int]balancer.Status{
	codeOK:            balancer.OK,
	codeNotAttempted:  balancer.NotAttempted,
	codeCancelled:     balancer.Cancelled,
	codeError:         balancer.Error,
	codeConnectFailed: balancer.ConnectFailed,
	codeRejected:      balancer.Rejected,
	codeTimedOut:      balancer.TimedOut,
	codeReset:         balancer.Reset,
}

// updateKinds are the kinds of an endpoints update, by their number in the input.
var updateKinds = [...]balancer.UpdateKind{
	0: balancer.IncrementalUpdate,
	1: balancer.FullUpdate,
	2: balancer.CachedUpdate,
	3: balancer.FailedUpdate,
}

// endpointStates are the states of an endpoint, by their number in the input.
var endpointStates = [...]balancer.EndpointState{
	0: balancer.Removed,
	1: balancer.Ready,
	2: balancer.Draining,
}

// defaultCapacity is the capacity of an endpoint without a capacity hint.
const defaultCapacity = 1

// endpoints converts the endpoints of the list.
func (l *wireEndpointList) endpoints() ([]balancer.Endpoint, error) {
	endpoints := make([]balancer.Endpoint, 0, len(*l.Endpoints))
	for i := range *l.Endpoints {
		endpoint, err := (*l.Endpoints)[i].endpoint()
		if err != nil {
			return nil, fmt.Errorf("elements[%d]: %w", i, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func (e *wireEndpoint) endpoint() (balancer.Endpoint, error) {
	if e.ID == nil || e.Zone == nil || e.State == nil {
		return balancer.Endpoint{}, missingFieldError{"backend", "dc", "state"}
	}
	if *e.State < 0 || *e.State >= len(endpointStates) {
		return balancer.Endpoint{}, &unknownValueError{field: "state", value: *e.State}
	}
	endpoint := balancer.Endpoint{
		ID:        *e.ID,
		Zone:      *e.Zone,
		Cell:      e.Cell,
		State:     endpointStates[*e.State],
		Capacity:  defaultCapacity,
		StartedAt: e.StartedAt,
	}
	if e.Capacity != nil {
		endpoint.Capacity = *e.Capacity
	}
	return endpoint, nil
}

// kind converts the kind of the update.
func (u *wireEndpointsUpdate) kind() (balancer.UpdateKind, error) {
	if u.Kind == nil {
		return 0, missingFieldError{"how"}
	}
	if *u.Kind < 0 || *u.Kind >= len(updateKinds) {
		return 0, &unknownValueError{field: "how", value: *u.Kind}
	}
	return updateKinds[*u.Kind], nil
}

func (r *wireRequest) request() (balancer.Request, error) {
	if r.RequestID == nil || r.Class == nil || r.Deadline == nil {
		return balancer.Request{}, missingFieldError{"ticket", "band", "give_up_at_us"}
	}
	return balancer.Request{
		ID:       *r.RequestID,
		Class:    *r.Class,
		Tenant:   r.Tenant,
		Key:      r.Key,
		Deadline: *r.Deadline,
	}, nil
}

func (o *wireOutcome) outcome() (balancer.Outcome, error) {
	if o.RequestID == nil || o.Attempt == nil || o.Code == nil {
		return balancer.Outcome{}, missingFieldError{"ticket", "go", "verdict"}
	}
	status, ok := statusOfCode[*o.Code]
	if !ok {
		return balancer.Outcome{}, &unknownValueError{field: "verdict", value: *o.Code}
	}
	return balancer.Outcome{
		ID:          *o.RequestID,
		Attempt:     *o.Attempt,
		Status:      status,
		Latency:     o.Latency,
		RequestDone: o.RequestDone,
	}, nil
}
