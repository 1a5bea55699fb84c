package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/timing"
)

const (
	// FirstRequestTimeout is the time of a connection's first request, from the accept to the first bytes of its body. With
	// headTimeout for its head a client that connects gets a response or a close within 3 s.
	FirstRequestTimeout = 2800 * time.Millisecond

	headTimeout  = 2200 * time.Millisecond // for a head, and for the first bytes of a later body
	idleTimeout  = 10 * time.Second        // for the next request on a connection
	writeTimeout = 5 * time.Second         // for a buffered response
)

// Options are what a Server works with.
type Options struct {
	Listener   *clientconn.Listener // its embedded listener is set before Serve
	Budget     *message.Budget      // memory of buffered bodies
	Dispatcher Dispatcher
	Clock      timing.Clock // of the deadlines that requests get
	Log        *slog.Logger
}

// Server serves clients. Its methods are safe for concurrent use.
type Server struct {
	connections *clientconn.Listener
	budget      *message.Budget
	dispatcher  Dispatcher
	clock       timing.Clock
	log         *slog.Logger
	http        *http.Server
	serveDone   chan struct{} // closed when Serve has returned

	draining            atomic.Bool // the process is shutting down
	takenOver           atomic.Bool // another process of this proxy accepts connections
	newConnectionsEnded atomic.Bool // clients use the connections that they have
	closeAfterResponse  atomic.Bool // each connection ends with its response
	lameDuck            atomic.Bool // operators want no clients here
	lameDuckMu          sync.Mutex  // held while lame duck begins or ends; guards stopEmptying
	stopEmptying        func()      // stops emptying; set while lameDuck is
	emptying            sync.WaitGroup
}

// State is what a Server is doing.
type State struct {
	Draining            bool // it is shutting down
	TakenOver           bool // another process of this proxy accepts connections
	LameDuck            bool // operators want no clients here
	NewConnectionsEnded bool // clients use the connections that they have
	CloseAfterResponse  bool // each connection ends with its response
}

// NewServer returns a Server that accepts nothing before Serve.
func NewServer(options Options) *Server {
	s := &Server{
		connections: options.Listener,
		budget:      options.Budget,
		dispatcher:  options.Dispatcher,
		clock:       options.Clock,
		log:         options.Log,
		serveDone:   make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      headTimeout + writeTimeout, // each response sets its own when it begins
		MaxHeaderBytes:    clientconn.MaxHead,
		ConnContext:       clientconn.ConnContext,
		ConnState:         s.connections.TrackState,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug), // remarks on broken clients
	}
	return s
}

// Serve accepts connections until the listener is closed. It returns the error of a listener that has failed.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	err := s.http.Serve(s.connections)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}

// ServeDone is closed when Serve has returned: nothing is accepted any more.
func (s *Server) ServeDone() <-chan struct{} { return s.serveDone }

// State returns what the server is doing.
func (s *Server) State() State {
	return State{
		Draining:            s.draining.Load(),
		TakenOver:           s.takenOver.Load(),
		LameDuck:            s.lameDuck.Load(),
		NewConnectionsEnded: s.newConnectionsEnded.Load(),
		CloseAfterResponse:  s.closeAfterResponse.Load(),
	}
}

// ServeHTTP answers a health check or has a request forwarded.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if r.URL.Path == healthPath {
		s.serveHealthCheck(w, r)
		return
	}
	request, err := s.parse(w, r, arrivedAt)
	if err != nil {
		s.rejectInvalid(w, err)
		return
	}
	defer request.Forwarded.Reservation.Release()
	if s.newConnectionsEnded.Load() {
		stats := s.connections.Stats()
		request.ClientConnections, request.IdleConnections = stats.Open-stats.Unused, stats.Idle
	}
	s.dispatcher.Submit(request)
	s.respond(w, r, request.Forwarded.Stream, s.await(r.Context(), request))
}

// await returns the response to a request that has been submitted. Where none will come, or nobody is left to take it, it
// panics to end the connection: a return would have net/http answer 200.
func (s *Server) await(ctx context.Context, request *Request) Response {
	clientGone := ctx.Done()
	var uploaded <-chan struct{}
	if stream := request.Forwarded.Stream; stream != nil {
		// Until the body has ended, its reader notices whether the client has gone or only pauses.
		clientGone, uploaded = nil, stream.Done()
	}
	for {
		select {
		case response := <-request.response:
			return response
		case <-uploaded:
			clientGone, uploaded = ctx.Done(), nil
		case <-clientGone:
			s.dispatcher.Cancel(request)
			panic(http.ErrAbortHandler)
		case <-s.dispatcher.Done():
			panic(http.ErrAbortHandler)
		}
	}
}
