package downstream

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"baylock/balancer"
	"baylock/internal/clientconn"
	"baylock/internal/message"
	"baylock/internal/timing"
)

// fakeDispatcher records the submitted and canceled requests, and does not respond on its own.
type fakeDispatcher struct {
	ready     bool
	submitted chan *Request
	canceled  chan *Request
	done      chan struct{}
}

func newFakeDispatcher() *fakeDispatcher {
	return &fakeDispatcher{
		ready:     true,
		submitted: make(chan *Request, 1),
		canceled:  make(chan *Request, 1),
		done:      make(chan struct{}),
	}
}

func (d *fakeDispatcher) Submit(r *Request)     { d.submitted <- r }
func (d *fakeDispatcher) Cancel(r *Request)     { d.canceled <- r }
func (d *fakeDispatcher) Done() <-chan struct{} { return d.done }
func (d *fakeDispatcher) Ready() bool           { return d.ready }
func (d *fakeDispatcher) Settings() Settings    { return fakeSettings{} }

// fakeSettings has one class, look, and no tenants.
type fakeSettings struct{}

func (fakeSettings) Class(name string) (balancer.Class, int, bool) {
	return balancer.Class{Deadline: 8_000_000, Idempotency: balancer.Idempotent}, 0, name == "look"
}

func (fakeSettings) TenantIndex(string) int { return -1 }

func newTestServer(d Dispatcher) *Server {
	budget := &message.Budget{}
	budget.SetLimit(0)
	return NewServer(Options{
		Listener:   clientconn.NewListener(nil, clientconn.Options{MaxConnections: 1}),
		Budget:     budget,
		Dispatcher: d,
		Clock:      timing.NewClock(),
		Log:        slog.New(slog.DiscardHandler),
	})
}

func newLookRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/look/k", nil)
	r.Header.Set(idHeader, "1")
	r.Header.Set(classHeader, "look")
	r.Header.Set(timeoutHeader, "4000")
	return r
}

// serve calls the server's handler with a request and reports whether it aborted the connection.
func serve(s *Server, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler {
				panic(err)
			}
			aborted = true
		}
	}()
	s.ServeHTTP(w, r)
	return false
}

func TestServerHealthCheckFollowsState(t *testing.T) {
	for name, c := range map[string]struct {
		notReady, lameDuck, draining, takenOver bool
		want                                    int
	}{
		"serving":                 {want: http.StatusOK},
		"without endpoints":       {notReady: true, want: http.StatusServiceUnavailable},
		"lame duck":               {lameDuck: true, want: http.StatusServiceUnavailable},
		"draining":                {draining: true, want: http.StatusServiceUnavailable},
		"draining, taken over":    {draining: true, takenOver: true, want: http.StatusOK},
		"lame duck, taken over":   {lameDuck: true, takenOver: true, want: http.StatusServiceUnavailable},
		"taken over, not started": {notReady: true, takenOver: true, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeDispatcher()
			d.ready = !c.notReady
			s := newTestServer(d)
			s.SetLameDuck(c.lameDuck)
			defer s.SetLameDuck(false)
			s.SetTakenOver(c.takenOver)
			if c.draining {
				s.BeginShutdown()
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, healthPath, nil))
			if closes := w.Header().Get("Connection") == "close"; w.Code != c.want || closes != (c.want != http.StatusOK) {
				t.Errorf("got %d, close %v, want %d", w.Code, closes, c.want)
			}
		})
	}
}

func TestServerWritesResponseFromDispatcher(t *testing.T) {
	for name, c := range map[string]struct {
		response Response
		want     http.Header
	}{
		"buffered":     {Response{Status: 200, ContentType: "a/b", Body: []byte("ok")}, http.Header{"Content-Type": {"a/b"}, "Content-Length": {"2"}}},
		"without type": {Response{Status: 200, Body: []byte("ok")}, http.Header{"Content-Type": nil, "Content-Length": {"2"}}},
		"rejected":     {Response{Status: 503, RetryAfter: 1_250_000}, http.Header{"Content-Type": nil, "Content-Length": {"0"}, "Retry-After": {"1.250"}}},
		"failed":       {Response{Status: 502}, http.Header{"Content-Type": nil, "Content-Length": {"0"}}},
		"invalid":      {Response{Status: 400}, http.Header{"Content-Type": nil, "Content-Length": {"0"}, "Connection": {"close"}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeDispatcher()
			go func() { (<-d.submitted).Respond(c.response) }()
			w := httptest.NewRecorder()
			if serve(newTestServer(d), w, newLookRequest(t.Context())) {
				t.Fatal("the connection was aborted")
			}
			if w.Code != c.response.Status || w.Body.String() != string(c.response.Body) {
				t.Errorf("got %d %q", w.Code, w.Body)
			}
			for header, values := range w.Header() {
				if strings.Join(values, ",") != strings.Join(c.want[header], ",") {
					t.Errorf("%s: got %q, want %q", header, values, c.want[header])
				}
			}
			if len(w.Header()) != len(c.want) {
				t.Errorf("got %v, want %v", w.Header(), c.want)
			}
		})
	}
}

func TestServerCancelsRequestOfDisconnectedClient(t *testing.T) {
	d := newFakeDispatcher()
	ctx, disconnect := context.WithCancel(t.Context())
	var submitted *Request
	go func() { submitted = <-d.submitted; disconnect() }()
	if !serve(newTestServer(d), httptest.NewRecorder(), newLookRequest(ctx)) {
		t.Error("the connection was not aborted")
	}
	if canceled := <-d.canceled; canceled != submitted {
		t.Errorf("got %p, want %p", canceled, submitted)
	}
}

func TestServerAbortsConnectionWithoutResponse(t *testing.T) {
	for name, end := range map[string]func(*fakeDispatcher, *Request){
		"dispatcher done": func(d *fakeDispatcher, _ *Request) { close(d.done) },
		"client gone":     func(_ *fakeDispatcher, r *Request) { r.Respond(Response{}) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeDispatcher()
			go func() { end(d, <-d.submitted) }()
			if !serve(newTestServer(d), httptest.NewRecorder(), newLookRequest(t.Context())) {
				t.Error("the connection was not aborted")
			}
		})
	}
}
