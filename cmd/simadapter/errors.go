package main

import (
	"errors"
	"fmt"
	"strings"
)

var (
	errOutsideBatch    = errors.New("event outside a batch")
	errIncompleteBatch = errors.New("input ends inside a batch")
	errUnknownEvent    = errors.New("unknown event")
)

// eventError is an error in an event or in its handling.
type eventError struct {
	event string // the event's name in the input
	err   error
}

func (e *eventError) Error() string { return e.event + ": " + e.err.Error() }
func (e *eventError) Unwrap() error { return e.err }

// wrapEventError adds the event's name to an error. It returns nil if err is nil.
func wrapEventError(event string, err error) error {
	if err == nil {
		return nil
	}
	return &eventError{event: event, err: err}
}

// missingFieldError names the fields of which at least one is missing.
type missingFieldError []string

func (e missingFieldError) Error() string {
	last := len(e) - 1
	if last == 0 {
		return e[last] + " is missing"
	}
	return strings.Join(e[:last], ", ") + " or " + e[last] + " is missing"
}

// unknownValueError reports a field with a value that the simulator's protocol does not define.
type unknownValueError struct {
	field string
	value int
}

func (e *unknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.field, e.value) }

// unknownInstanceError names an instance that has not been started.
type unknownInstanceError string

func (e unknownInstanceError) Error() string { return fmt.Sprintf("unknown instance %q", string(e)) }
