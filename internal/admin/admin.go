// Package admin is the operators' console: HTTP calls, one to a connection, that have a proxy do something.
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
	MaxConnections   = 12  // at a time; those without a complete call are evicted for others
	MaxBodyBytes     = 512 // of a call
	OperationTimeout = 900 * time.Millisecond

	maxHeadBytes = 4 << 10
	headTimeout  = 2 * time.Second
	bodyTimeout  = 500 * time.Millisecond
	writeTimeout = 4 * time.Second
)

// ErrUnknownBackend is returned by Operations for an ID that no backend has.
var ErrUnknownBackend = errors.New("no backend has this id")

// Operations is what operators can have a proxy do. A method that returns nil has done it. An error other than
// ErrUnknownBackend means that the proxy can't at present; its text is the answer's line.
type Operations interface {
	// Ready returns one line on the settings in force, or an error while the process doesn't serve.
	Ready() (settings string, err error)
	// Detach keeps new requests from a backend until Attach.
	Detach(ctx context.Context, backendID string) error
	Attach(ctx context.Context, backendID string) error
	// SetLameDuck drains the proxy of clients, or takes it back into service.
	SetLameDuck(ctx context.Context, on bool) error
}

// Server is the HTTP server of the console.
type Server struct {
	connections *clientconn.Listener
	server      *http.Server
	calls       map[string]call
	log         *slog.Logger
}

// NewServer returns a server that has calls carried out. It is to listen, and then to serve.
func NewServer(operations Operations, log *slog.Logger) *Server {
	// Without a RequestGrace incomplete calls are evicted, however new.
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
		// A connection is active from when its call is complete, see handle: one that waits for a body can be evicted.
		ConnState: func(connection net.Conn, state http.ConnState) {
			if state != http.StateActive {
				connections.TrackState(connection, state)
			}
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// Listen opens the listener at host:port.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	s.connections.Listener = listener
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.connections.Addr() }

// OpenConnections returns the number of connections that are open.
func (s *Server) OpenConnections() int { return s.connections.Stats().Open }

// Serve answers calls until Close, or returns the error of the listener.
func (s *Server) Serve() error {
	err := s.server.Serve(s.connections)
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.server.Close() }
