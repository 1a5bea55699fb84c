package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	bufferBytes    = 1 << 20 // size of the input buffer and of the output buffer
	maxQuotedBytes = 80      // how much of a line with an unknown event the error quotes
)

// serve replies to batches of events until the input ends. It returns an error for the first line that
// it cannot handle.
func serve(in io.Reader, out io.Writer) error {
	writer := bufio.NewWriterSize(out, bufferBytes)
	adapter := newAdapter(writer)
	reader := bufio.NewReaderSize(in, bufferBytes)
	for number := 1; ; number++ {
		line, readErr := readLine(reader)
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := adapter.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			if adapter.inBatch {
				return fmt.Errorf("line %d: %w", number, errIncompleteBatch)
			}
			return writer.Flush()
		}
		if readErr != nil {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
	}
}

// readLine returns the next line, of any length; it is valid until the next call.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	start := bytes.Clone(line)
	rest, err := reader.ReadBytes('\n')
	return append(start, rest...), err
}

// handleLine parses one line of input and handles its event.
func (a *adapter) handleLine(line []byte) error {
	var event wireEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return fmt.Errorf("invalid event: %w", err)
	}
	if event.BatchStart == nil && !a.inBatch {
		return errOutsideBatch
	}
	err := a.handleEvent(&event)
	if errors.Is(err, errUnknownEvent) {
		return fmt.Errorf("%w: %.*s", err, maxQuotedBytes, line)
	}
	return err
}

// handleEvent dispatches one event.
func (a *adapter) handleEvent(event *wireEvent) error {
	switch {
	case event.BatchStart != nil:
		return wrapEventError(eventBatchStart, a.startBatch(event.BatchStart))
	case event.BatchEnd != nil:
		return a.endBatch()
	case event.EndpointList != nil:
		return wrapEventError(eventEndpointList, a.storeEndpointList(event.EndpointList))
	case event.InstanceStarted != nil:
		return wrapEventError(eventInstanceStarted, a.startInstance(event.InstanceStarted))
	case event.InstanceStopped != nil:
		return wrapEventError(eventInstanceStopped, a.stopInstance(event.InstanceStopped))
	case event.EndpointsUpdate != nil:
		return wrapEventError(eventEndpointsUpdate, a.updateEndpoints(event.EndpointsUpdate))
	case event.RequestArrived != nil:
		return wrapEventError(eventRequestArrived, a.handleRequest(event.RequestArrived))
	case event.ResponseStarted != nil:
		return wrapEventError(eventResponseStarted, a.startResponse(event.ResponseStarted))
	case event.AttemptEnded != nil:
		return wrapEventError(eventAttemptEnded, a.handleOutcome(event.AttemptEnded))
	case event.RequestCancelled != nil:
		return wrapEventError(eventRequestCancelled, a.cancelRequest(event.RequestCancelled))
	case event.TimerFired != nil:
		return wrapEventError(eventTimerFired, a.fireTimer(event.TimerFired))
	case event.HealthChecked != nil:
		return wrapEventError(eventHealthChecked, a.ignore(event.HealthChecked))
	case event.PeerMessage != nil:
		return wrapEventError(eventPeerMessage, a.ignore(event.PeerMessage))
	}
	return errUnknownEvent
}
