// Package traffic generates real traffic over loopback for experiments: backends that respond at once or after a call
// to the next tier, clients with persistent connections, and an open-loop load generator.
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

// The headers that Client sends and Backend reads.
const (
	idHeader      = "Request-Id"
	classHeader   = "Request-Class"
	tenantHeader  = "Tenant"
	timeoutHeader = "Request-Timeout-Ms"
)

// responseBody is the body of a backend's response.
var responseBody = []byte("served by a backend of the scale tool; sixty-four bytes in all.\n")

// Backend is a server that responds at once, or after a call to the next tier. Any number of endpoints may have its
// address: a proxy opens separate connections for each endpoint.
type Backend struct {
	Address string // host:port
	server  *http.Server
	next    *Client // calls the next tier; nil in the last tier
	calls   atomic.Int64
	done    chan struct{} // closed once the server has stopped
}

// StartBackend starts a backend at a free port of 127.0.0.1. If next is not nil, the backend makes a call with it
// for each request, and fails the request if that call fails.
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
			log.Error("a backend has stopped serving", "error", err)
		}
	}()
	return b, nil
}

// ServeHTTP responds with status 200, or with 404 to a request without an ID, or with 500 if the call to the next tier
// fails.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls.Add(1)
	if r.Header.Get(idHeader) == "" {
		http.NotFound(w, r)
		return
	}
	if b.next != nil && b.callNext(r) != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // prevents the server from adding the header
	w.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
	_, _ = w.Write(responseBody) // fails only if the client has disconnected
}

// callNext calls the next tier with the timeout of the request and a new ID that is derived from its ID.
func (b *Backend) callNext(r *http.Request) error {
	timeout, err := strconv.Atoi(r.Header.Get(timeoutHeader))
	if err != nil {
		return fmt.Errorf("%s: %w", timeoutHeader, err)
	}
	return b.next.Call(Call{ID: r.Header.Get(idHeader) + "n", Class: r.Header.Get(classHeader),
		Tenant: r.Header.Get(tenantHeader), TimeoutMs: timeout})
}

// Calls returns the number of requests that have arrived.
func (b *Backend) Calls() int64 { return b.calls.Load() }

// Close stops the backend and closes its connections.
func (b *Backend) Close() {
	_ = b.server.Close() // a socket that fails to close ends with the process
	<-b.done
}

// Endpoints returns the given number of endpoints with the backend's address, distributed evenly over the zones.
func (b *Backend) Endpoints(count int, zones []string) []discovery.Endpoint {
	list := make([]discovery.Endpoint, count)
	for i := range list {
		list[i] = discovery.Endpoint{Name: fmt.Sprintf("backend-%04d", i), Address: b.Address, Zone: zones[i%len(zones)],
			Cell: i, Status: discovery.Serving}
	}
	return list
}
