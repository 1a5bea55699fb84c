// Package traffic makes real calls over loopback for experiments: backends that answer at once or call on, clients that
// keep their connections, and an open-loop generator of load.
package traffic

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"baylock/internal/discovery"
)

// The headers of a call.
const (
	idHeader      = "Request-Id"
	classHeader   = "Request-Class"
	tenantHeader  = "Tenant"
	timeoutHeader = "Request-Timeout-Ms"
)

// answerBody is what a backend answers.
var answerBody = []byte("served by a backend of the scale tool; sixty-four bytes in all.\n")

// Backend is one server that answers calls at once, or first calls on to the next tier. Any number of names on a list
// may point to it: a proxy keeps connections to each name apart.
type Backend struct {
	Address string // host:port
	server  *http.Server
	next    *Client // of the next tier; nil in the last
	calls   atomic.Int64
	done    chan struct{} // closed once it serves no more
}

// StartBackend starts a backend at a free port of 127.0.0.1. Before it answers a call it makes one with next, if that
// is not nil, and fails if that one fails.
func StartBackend(next *Client, log *slog.Logger) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a backend: %w", err)
	}
	b := &Backend{Address: listener.Addr().String(), next: next, done: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	go func() {
		defer close(b.done)
		if err := b.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("a backend serves no more", "error", err)
		}
	}()
	return b, nil
}

// ServeHTTP answers a call.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls.Add(1)
	if r.Header.Get(idHeader) == "" {
		http.NotFound(w, r)
		return
	}
	if b.next != nil && b.callOn(r) != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(answerBody)))
	_, _ = w.Write(answerBody) // a caller that has gone is no fault
}

// callOn makes the call of the next tier, with the time that is left and an id of its own.
func (b *Backend) callOn(r *http.Request) error {
	left, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil {
		return fmt.Errorf("%s: %w", timeoutHeader, err)
	}
	return b.next.Call(Call{ID: r.Header.Get(idHeader) + "n", Class: r.Header.Get(classHeader),
		Tenant: r.Header.Get(tenantHeader), TimeoutMs: left})
}

// Calls counts the calls that have arrived.
func (b *Backend) Calls() int64 { return b.calls.Load() }

// Close ends the backend and its connections.
func (b *Backend) Close() {
	_ = b.server.Close() // what it could not close is closed with the process
	<-b.done
}

// Endpoints lists the backend under so many names, spread over the zones.
func (b *Backend) Endpoints(count int, zones []string) []discovery.Endpoint {
	list := make([]discovery.Endpoint, count)
	for i := range list {
		list[i] = discovery.Endpoint{Name: fmt.Sprintf("backend-%04d", i), Address: b.Address, Zone: zones[i%len(zones)],
			Cell: i, Status: discovery.Serving}
	}
	return list
}
