package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"baylock/internal/clientconn"
)

// Paths of the calls.
const (
	readyPath       = "/_ready"
	detachPath      = "/_backends/detach"
	attachPath      = "/_backends/attach"
	lameDuckOnPath  = "/_lameduck/on"
	lameDuckOffPath = "/_lameduck/off"
)

// succeededLine is the response to a successful call.
const succeededLine = "ok"

// call is one of the console's calls.
type call struct {
	method       string
	takesBackend bool // the call's body is the ID of a backend
	run          func(ctx context.Context, backendID string) (line string, err error)
}

// newCalls returns the calls by path.
func newCalls(operations Operations) map[string]call {
	return map[string]call{
		readyPath:       readyCall(operations),
		detachPath:      backendCall(operations.Detach),
		attachPath:      backendCall(operations.Attach),
		lameDuckOnPath:  lameDuckCall(operations, true),
		lameDuckOffPath: lameDuckCall(operations, false),
	}
}

func readyCall(operations Operations) call {
	return call{http.MethodGet, false, func(context.Context, string) (string, error) {
		settings, err := operations.Ready()
		return succeededLine + " " + settings, err
	}}
}

func backendCall(operation func(ctx context.Context, backendID string) error) call {
	return call{http.MethodPost, true, func(ctx context.Context, backendID string) (string, error) {
		return succeededLine, operation(ctx, backendID)
	}}
}

func lameDuckCall(operations Operations, on bool) call {
	return call{http.MethodPost, false, func(ctx context.Context, _ string) (string, error) {
		return succeededLine, operations.SetLameDuck(ctx, on)
	}}
}

// callError is the reason why a call is invalid, and the HTTP status of the response.
type callError struct {
	status int
	reason string
}

func (e *callError) Error() string { return e.reason }

// status returns the HTTP status of the response to a failed call.
func status(err error) int {
	if e, ok := errors.AsType[*callError](err); ok {
		return e.status
	}
	if errors.Is(err, ErrUnknownBackend) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	code := http.StatusOK
	backendID, line, err := s.handle(w, r)
	if err != nil {
		code, line = status(err), err.Error()
	}
	if r.URL.Path != readyPath {
		s.log.Info("console", "call", r.URL.Path, "id", backendID, "status", code, "answer", line)
	}
	setBodyDeadline(w) // the rest of a body may never arrive
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(code)
	_, _ = io.WriteString(w, line+"\n") // fails if the caller has disconnected
}

// handle reads a call and runs it. It returns the ID of the backend that the call names, if any, and the response
// line.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) (backendID, line string, err error) {
	c, ok := s.calls[r.RequestURI]
	if !ok {
		return "", "", &callError{http.StatusNotFound, "no such call"}
	}
	if r.Method != c.method {
		w.Header().Set("Allow", c.method)
		return "", "", &callError{http.StatusMethodNotAllowed, "the call requires method " + c.method}
	}
	if backendID, err = readBackendID(w, r, c.takesBackend); err != nil {
		return "", "", err
	}
	if connection := clientconn.FromContext(r.Context()); connection != nil {
		s.connections.TrackState(connection, http.StateActive)
	}
	ctx, cancel := context.WithTimeout(r.Context(), OperationTimeout)
	defer cancel()
	line, err = c.run(ctx, backendID)
	return backendID, line, err
}

// readBackendID reads a call's body. If required is true, the body has to be the ID of a backend; otherwise it has
// to be empty.
func readBackendID(w http.ResponseWriter, r *http.Request, required bool) (string, error) {
	setBodyDeadline(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if errors.As(err, new(*http.MaxBytesError)) {
		return "", &callError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return "", &callError{http.StatusBadRequest, "the body is incomplete or malformed"}
	}
	id := strings.TrimSpace(string(body))
	if required == (id == "") {
		return "", &callError{http.StatusBadRequest,
			"the body must be the id of a backend, or empty if the call takes none"}
	}
	return id, nil
}

func setBodyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
}
