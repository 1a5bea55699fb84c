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
	"baylock/internal/rejection"
	"baylock/internal/timing"
)

const (
	// FirstRequestTimeout limits the time from accepting a connection until the first bytes of the first request's body
	// arrive, but leaves the client at least message.FirstBytesTimeout after the head. Together with headTimeout for the
	// head, it ensures that a new client gets a response, or its connection is closed, within 3 s.
	FirstRequestTimeout = 2800 * time.Millisecond

	headTimeout  = 2200 * time.Millisecond // for a request's head; on later requests also for the first bytes of the body
	idleTimeout  = 10 * time.Second        // for the next request to begin on a connection
	writeTimeout = 5 * time.Second         // for a buffered response
)

// Options are the dependencies of a Server.
type Options struct {
	Listener   *clientconn.Listener // its embedded listener has to be set before Serve
	Budget     *message.Budget      // memory of buffered bodies
	Dispatcher Dispatcher
	Clock      timing.Clock // clock of the requests' times and deadlines
	Log        *slog.Logger
	Overloaded func() bool // reports whether there is no memory for further requests; nil means never
}

// Server serves clients. Its methods are safe for concurrent use.
type Server struct {
	connections *clientconn.Listener
	budget      *message.Budget
	dispatcher  Dispatcher
	clock       timing.Clock
	log         *slog.Logger
	overloaded  func() bool
	rejections  *rejection.Log // for lack of memory
	http        *http.Server
	serveDone   chan struct{} // closed when Serve has returned

	draining            atomic.Bool    // the process is shutting down
	takenOver           atomic.Bool    // another process of this proxy accepts connections
	newConnectionsEnded atomic.Bool    // clients may be unable to open further connections
	closeAfterResponse  atomic.Bool    // each connection is closed after its response
	lameDuck            atomic.Bool    // lame duck mode is on: clients are drained and kept away
	lameDuckMu          sync.Mutex     // held while lameDuck changes; guards stopLameDuckDrain
	stopLameDuckDrain   func()         // stops drainLameDuck; set while lameDuck is true
	lameDuckDrain       sync.WaitGroup // waits for drainLameDuck
}

// State is what a Server is doing.
type State struct {
	Draining            bool // it is shutting down
	TakenOver           bool // another process of this proxy accepts connections
	LameDuck            bool // lame duck mode is on: clients are drained and kept away
	NewConnectionsEnded bool // clients may be unable to open further connections
	CloseAfterResponse  bool // each connection is closed after its response
}

// NewServer returns a Server that accepts no connections until Serve is called.
func NewServer(options Options) *Server {
	s := &Server{
		connections: options.Listener,
		budget:      options.Budget,
		dispatcher:  options.Dispatcher,
		clock:       options.Clock,
		log:         options.Log,
		overloaded:  options.Overloaded,
		rejections:  rejection.NewLog(options.Log, "requests rejected for lack of memory"),
		serveDone:   make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      headTimeout + writeTimeout, // each response replaces it when it begins
		MaxHeaderBytes:    clientconn.MaxHead,
		ConnContext:       clientconn.ConnContext,
		ConnState:         s.connections.TrackState,
		ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug), // errors caused by clients

		// net/http would answer OPTIONS * itself with 200, as though a request had been served.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts connections until the listener is closed. It returns an error if the listener fails.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	err := s.http.Serve(s.connections)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}

// ServeDone returns a channel that is closed when Serve has returned, so that no more connections are accepted.
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

// ServeHTTP answers a health check, or forwards a request and writes its response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if isHealthCheck(r) {
		s.serveHealthCheck(w, r)
		return
	}
	request, err := s.parse(w, r, arrivedAt)
	if err != nil {
		s.rejectInvalid(w, err)
		return
	}
	defer request.Forwarded.Reservation.Release()
	defer func() {
		if request.Forwarded.ClientGone() { // it may not have received the response
			s.dispatcher.Cancel(request)
		}
	}()
	if s.overloaded != nil && s.overloaded() { // it was not sent, so the client may send it again
		s.rejections.Add(arrivedAt)
		s.respond(w, r, request.Forwarded.Stream, Response{Status: http.StatusServiceUnavailable})
		return
	}
	if s.newConnectionsEnded.Load() {
		stats := s.connections.Stats()
		request.ClientConnections, request.IdleConnections = stats.Open-stats.Unused, stats.Idle
	}
	s.dispatcher.Submit(request)
	s.respond(w, r, request.Forwarded.Stream, s.awaitResponse(r.Context(), request))
}

// awaitResponse waits for the response to a submitted request. If the client has disconnected or the dispatcher has
// stopped, it panics to abort the connection, since returning would make net/http answer 200.
func (s *Server) awaitResponse(ctx context.Context, request *Request) Response {
	clientGone := ctx.Done()
	var uploaded <-chan struct{}
	if stream := request.Forwarded.Stream; stream != nil {
		// Until the body has ended, the reader of the stream detects whether the client has disconnected or only paused.
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
