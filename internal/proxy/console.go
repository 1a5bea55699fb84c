package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"baylock/internal/clientconn"
)

const (
	adminMaxConnections   = 12 // at a time; those without a complete call are evicted for others
	adminHeadTimeout      = 2 * time.Second
	adminBodyTimeout      = 500 * time.Millisecond
	adminOperationTimeout = 900 * time.Millisecond // an answer is due within 1 s
	adminWriteTimeout     = 4 * time.Second
	adminMaxHeadBytes     = 4 << 10
	adminMaxBodyBytes     = 512

	readyPath     = "/_ready"
	succeededLine = "ok" // the answer to a call that was carried out
)

// errUnknownBackend is returned by Operations for an ID that no backend has.
var errUnknownBackend = errors.New("no backend has this id")

// Operations is what operators can have a proxy do. A method that returns nil has done it; an error other than
// errUnknownBackend means that the proxy can't now.
type Operations interface {
	// Ready returns one line on the settings in force, or an error while the process doesn't serve.
	Ready() (settings string, err error)
	// Detach keeps new requests from a backend until Attach.
	Detach(ctx context.Context, backendID string) error
	Attach(ctx context.Context, backendID string) error
	// SetLameDuck empties the proxy of clients, or takes it back into service.
	SetLameDuck(ctx context.Context, on bool) error
}

// adminServer is the operators' console: HTTP with one call to a connection.
type adminServer struct {
	connections *clientconn.Listener
	server      *http.Server
	calls       map[string]adminCall
	log         *slog.Logger
}

// adminCall is one of the console's calls.
type adminCall struct {
	method       string
	takesBackend bool // its body is the ID of a backend
	run          func(ctx context.Context, backendID string) (line string, err error)
}

// callError is why a call is not carried out, with the status of its answer.
type callError struct {
	status int
	reason string
}

func (e *callError) Error() string { return e.reason }

func newAdminServer(operations Operations, log *slog.Logger) *adminServer {
	s := &adminServer{
		connections: clientconn.NewListener(nil, clientconn.Options{MaxConnections: adminMaxConnections, WaitForCapacity: true}),
		log:         log,
		calls:       adminCalls(operations),
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: adminHeadTimeout,
		IdleTimeout:       adminHeadTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeadBytes,
		ErrorLog:          quietLog(log),
		ConnContext:       clientconn.ConnContext,
		// readCall marks a connection as active when its call is complete: one that waits for a body can be evicted.
		ConnState: func(connection net.Conn, state http.ConnState) {
			if state != http.StateActive {
				s.connections.TrackState(connection, state)
			}
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// adminCalls returns the calls by path.
func adminCalls(operations Operations) map[string]adminCall {
	backendCall := func(operation func(context.Context, string) error) adminCall {
		return adminCall{http.MethodPost, true, func(ctx context.Context, backendID string) (string, error) {
			return succeededLine, operation(ctx, backendID)
		}}
	}
	lameDuckCall := func(on bool) adminCall {
		return adminCall{http.MethodPost, false, func(ctx context.Context, _ string) (string, error) {
			return succeededLine, operations.SetLameDuck(ctx, on)
		}}
	}
	readyCall := adminCall{http.MethodGet, false, func(context.Context, string) (string, error) {
		settings, err := operations.Ready()
		return succeededLine + " " + settings, err
	}}
	return map[string]adminCall{
		readyPath:           readyCall,
		"/_backends/detach": backendCall(operations.Detach),
		"/_backends/attach": backendCall(operations.Attach),
		"/_lameduck/on":     lameDuckCall(true),
		"/_lameduck/off":    lameDuckCall(false),
	}
}

// serve takes calls until close.
func (s *adminServer) serve() error {
	err := s.server.Serve(s.connections)
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

func (s *adminServer) close() { _ = s.server.Close() }

// ServeHTTP answers one call.
func (s *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	backendID, line, err := s.handle(w, r)
	if err != nil {
		status, line = errorStatus(err), err.Error()
	}
	if r.URL.Path != readyPath {
		s.log.Info("console", "call", r.URL.Path, "id", backendID, "status", status, "answer", line)
	}
	setBodyDeadline(w) // the rest of a body may never arrive
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n") // fails where the caller has gone
}

// errorStatus returns the status of the answer to a call that failed.
func errorStatus(err error) int {
	if e, ok := errors.AsType[*callError](err); ok {
		return e.status
	}
	if errors.Is(err, errUnknownBackend) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// handle reads a call and carries it out. It returns the backend that the call names, if any, and the answer's line.
func (s *adminServer) handle(w http.ResponseWriter, r *http.Request) (backendID, line string, err error) {
	call, ok := s.calls[r.RequestURI]
	if !ok {
		return "", "", &callError{http.StatusNotFound, "no such call"}
	}
	if r.Method != call.method {
		w.Header().Set("Allow", call.method)
		return "", "", &callError{http.StatusMethodNotAllowed, "the call is " + call.method}
	}
	if backendID, err = readBackendID(w, r, call.takesBackend); err != nil {
		return "", "", err
	}
	if connection := clientconn.FromContext(r.Context()); connection != nil {
		s.connections.TrackState(connection, http.StateActive)
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminOperationTimeout)
	defer cancel()
	line, err = call.run(ctx, backendID)
	return backendID, line, err
}

// readBackendID reads a call's body, which is empty unless it has to name a backend.
func readBackendID(w http.ResponseWriter, r *http.Request, wanted bool) (string, error) {
	setBodyDeadline(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminMaxBodyBytes))
	if errors.As(err, new(*http.MaxBytesError)) {
		return "", &callError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return "", &callError{http.StatusBadRequest, "the body broke off"}
	}
	id := strings.TrimSpace(string(body))
	if wanted == (id == "") {
		return "", &callError{http.StatusBadRequest,
			"the body has to hold the id of a backend, or nothing where none is named"}
	}
	return id, nil
}

func setBodyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(adminBodyTimeout))
}
