// Package admin implements the operators' console, an HTTP server whose calls control a proxy. Each connection carries
// one call.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"baylock/internal/clientconn"
)

// Limits of the console.
const (
	MaxConnections   = 12                     // open at a time; those without a complete call are evicted to admit others
	MaxBodyBytes     = 512                    // limit for the body of a call
	OperationTimeout = 900 * time.Millisecond // for running the operation of a call

	maxHeadBytes = 4 << 10
	headTimeout  = 2 * time.Second
	bodyTimeout  = 500 * time.Millisecond
	writeTimeout = 4 * time.Second
)

// ErrUnknownBackend is returned by Operations if no backend has the given ID.
var ErrUnknownBackend = errors.New("no backend has this id")

// Operations are the operations of a proxy that operators can request. A method returns nil after the operation has
// succeeded. An error other than ErrUnknownBackend means that the proxy can't perform the operation at present; its text
// is sent to the operator.
type Operations interface {
	// Ready returns a one-line description of the settings in force, or an error while the process doesn't serve
	// requests.
	Ready() (settings string, err error)
	// Detach stops new requests from being sent to a backend until Attach is called for it.
	Detach(ctx context.Context, backendID string) error
	// Attach reverts Detach.
	Attach(ctx context.Context, backendID string) error
	// SetLameDuck drains the proxy of clients, or returns it to service.
	SetLameDuck(ctx context.Context, on bool) error
}

// Server is the HTTP server of the console.
type Server struct {
	connections *clientconn.Listener
	server      *http.Server
	calls       map[string]call
	log         *slog.Logger
}

// NewServer returns a server whose calls run operations. Listen has to be called before Serve.
func NewServer(operations Operations, log *slog.Logger) *Server {
	// Without a RequestGrace, connections with incomplete calls can be evicted at any age.
	connections := clientconn.NewListener(nil, clientconn.Options{MaxConnections: MaxConnections, WaitForCapacity: true})
	s := &Server{connections: connections, calls: newCalls(operations), log: log}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       headTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:       clientconn.ConnContext,
		// net/http would answer OPTIONS * itself with 200, as though a call had succeeded.
		DisableGeneralOptionsHandler: true,
		// A connection becomes active when handle has read the complete call, so that one that still waits for the body
		// can be evicted.
		ConnState: func(connection net.Conn, state http.ConnState) {
			if state != http.StateActive {
				connections.TrackState(connection, state)
			}
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// Listen opens the listener on address, in the form host:port.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("console: cannot listen: %w", err)
	}
	s.connections.Listener = listener
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.connections.Addr() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return s.connections.Stats().Open }

// Serve answers calls until Close is called. It returns an error if the listener fails.
func (s *Server) Serve() error {
	err := s.server.Serve(s.connections)
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.server.Close() }
