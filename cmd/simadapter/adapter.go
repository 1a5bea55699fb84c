package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"

	"baylock/balancer"
	"baylock/internal/settings"
)

// endpointListCount is the number of endpoint lists that are stored at a time. The simulator reuses
// their numbers.
const endpointListCount = 16

// adapter passes the simulator's events to the balancers of the simulated proxies.
type adapter struct {
	now           balancer.Microseconds // time of the current batch
	inBatch       bool
	instances     map[string]*instance
	endpointLists [endpointListCount][]balancer.Endpoint // by number; nil if not received yet
	writer        *bufio.Writer
	encoder       *json.Encoder // writes to writer
}

// instance is one simulated proxy.
type instance struct {
	balancer *balancer.Balancer
	actions  *actionWriter
}

func newAdapter(writer *bufio.Writer) *adapter {
	encoder := json.NewEncoder(writer)
	encoder.SetEscapeHTML(false)
	return &adapter{instances: map[string]*instance{}, writer: writer, encoder: encoder}
}

func (a *adapter) startBatch(start *wireBatchStart) error {
	if start.Time == nil {
		return missingFieldError{"time_us"}
	}
	a.now = *start.Time
	a.inBatch = true
	return nil
}

// endBatch writes the end of the reply to a batch and flushes the output.
func (a *adapter) endBatch() error {
	a.inBatch = false
	if err := a.encoder.Encode(wireAction{BatchDone: &struct{}{}}); err != nil {
		return err
	}
	return a.writer.Flush()
}

func (a *adapter) storeEndpointList(list *wireEndpointList) error {
	if list.Number == nil || list.Endpoints == nil {
		return missingFieldError{"roster_id", "elements"}
	}
	if *list.Number < 0 || *list.Number >= endpointListCount {
		return &unknownValueError{field: "roster_id", value: *list.Number}
	}
	endpoints, err := list.endpoints()
	if err != nil {
		return err
	}
	a.endpointLists[*list.Number] = endpoints
	return nil
}

func (a *adapter) startInstance(start *wireInstanceStarted) error {
	noSettings := start.Settings == nil || bytes.Equal(start.Settings, []byte("null"))
	if start.Instance == nil || start.Seed == nil || noSettings {
		return missingFieldError{"who", "salt", "options"}
	}
	site, err := settings.Decode(start.Settings)
	if err != nil {
		return fmt.Errorf("options.%w", err)
	}
	created, err := balancer.New(site.Balancer, *start.Seed)
	if err != nil {
		return err
	}
	a.instances[*start.Instance] = &instance{
		balancer: created,
		actions:  &actionWriter{instance: *start.Instance, encoder: a.encoder},
	}
	return nil
}

func (a *adapter) stopInstance(stop *wireInstance) error {
	if _, err := a.findInstance(stop.Instance); err != nil {
		return err
	}
	delete(a.instances, *stop.Instance)
	return nil
}

// findInstance returns the instance with the given name.
func (a *adapter) findInstance(name *string) (*instance, error) {
	if name == nil {
		return nil, missingFieldError{"who"}
	}
	found := a.instances[*name]
	if found == nil {
		return nil, unknownInstanceError(*name)
	}
	return found, nil
}

// ignore checks the instance of an event that the balancer does not handle.
func (a *adapter) ignore(event *wireInstance) error {
	_, err := a.findInstance(event.Instance)
	return err
}

func (a *adapter) updateEndpoints(update *wireEndpointsUpdate) error {
	found, err := a.findInstance(update.Instance)
	if err != nil {
		return err
	}
	kind, err := update.kind()
	if err != nil {
		return err
	}
	var endpoints []balancer.Endpoint
	if kind != balancer.FailedUpdate {
		if endpoints, err = a.endpointList(update.ListNumber); err != nil {
			return err
		}
	}
	found.balancer.UpdateEndpoints(a.now, found.actions, kind, endpoints)
	return nil
}

// endpointList returns the list that was last received under the given number.
func (a *adapter) endpointList(number *int) ([]balancer.Endpoint, error) {
	if number == nil {
		return nil, missingFieldError{"roster_id"}
	}
	if *number < 0 || *number >= endpointListCount || a.endpointLists[*number] == nil {
		return nil, &unknownValueError{field: "roster_id", value: *number}
	}
	return a.endpointLists[*number], nil
}

func (a *adapter) handleRequest(event *wireRequest) error {
	found, err := a.findInstance(event.Instance)
	if err != nil {
		return err
	}
	request, err := event.request()
	if err != nil {
		return err
	}
	found.balancer.HandleRequest(a.now, found.actions, request)
	return nil
}

func (a *adapter) handleOutcome(event *wireOutcome) error {
	found, err := a.findInstance(event.Instance)
	if err != nil {
		return err
	}
	outcome, err := event.outcome()
	if err != nil {
		return err
	}
	found.balancer.HandleOutcome(a.now, found.actions, outcome)
	return nil
}

// startResponse handles the start of a streamed response.
func (a *adapter) startResponse(event *wireRequestID) error {
	found, err := a.findInstance(event.Instance)
	if err != nil {
		return err
	}
	if event.RequestID == nil {
		return missingFieldError{"ticket"}
	}
	found.balancer.ResponseStarted(a.now, *event.RequestID)
	return nil
}

func (a *adapter) cancelRequest(event *wireRequestID) error {
	found, err := a.findInstance(event.Instance)
	if err != nil {
		return err
	}
	if event.RequestID == nil {
		return missingFieldError{"ticket"}
	}
	found.balancer.CancelRequest(a.now, found.actions, *event.RequestID)
	return nil
}

func (a *adapter) fireTimer(event *wireTimer) error {
	found, err := a.findInstance(event.Instance)
	if err != nil {
		return err
	}
	if event.Token == nil {
		return missingFieldError{"nonce"}
	}
	found.balancer.TimerFired(a.now, found.actions, *event.Token)
	return nil
}
