package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/discovery"
)

func TestAttemptReportsRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := newTestPool(4, l.Addr().String())
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.ConnectFailed {
		t.Errorf("got status %v", result.Status)
	}
	if p.Stats().Open != 0 {
		t.Errorf("%d connections are still counted as open", p.Stats().Open)
	}
}

func TestAttemptReportsOtherDialErrorAsConnectFailure(t *testing.T) {
	p := newTestPool(4, "127.0.0.1:1")
	p.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.ConnectFailed || p.Stats().Open != 0 {
		t.Errorf("got %v with %d open", result.Status, p.Stats().Open)
	}
}

func TestAttemptTimesOutAndClosesConnection(t *testing.T) {
	b := backendtest.Start(t, backendtest.Hang(t))
	p := newTestPool(4, b.Address)
	if result := newTestAttempt(t, p, "a", 50*time.Millisecond).run(); result.Status != balancer.TimedOut {
		t.Errorf("got status %v", result.Status)
	}
	if stats := p.Stats(); stats.Open != 0 || stats.Idle != 0 {
		t.Error("the connection is still open")
	}
}

func TestCancelledAttemptClosesConnection(t *testing.T) {
	received := make(chan struct{}, 1)
	ended := make(chan error, 1)
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		received <- struct{}{}
		_, err := w.(net.Conn).Read(make([]byte, 1))
		ended <- err
		return false
	})
	p := newTestPool(4, b.Address)
	a := newTestAttempt(t, p, "a", testTimeout)
	results := make(chan Result, 1)
	go func() { results <- a.run() }()
	backendtest.Receive(t, "request", received)
	a.cancel()
	if result := backendtest.Receive(t, "result", results); result.Status != balancer.Cancelled {
		t.Errorf("got status %v", result.Status)
	}
	if err := backendtest.Receive(t, "end of the connection", ended); err == nil {
		t.Error("the connection is still open")
	}
}

func TestAttemptSendsNothingAfterChangeDuringDial(t *testing.T) {
	for name, change := range map[string]func(p *Pool, a *testAttempt){
		"endpoint draining": func(p *Pool, a *testAttempt) {
			p.ApplyEndpoints(false, []discovery.Endpoint{endpointUpdate("a", a.Target.address, discovery.Draining)})
		},
		"endpoint removed": func(p *Pool, a *testAttempt) { p.ApplyEndpoints(true, nil) },
		"endpoint restarted": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.SinceMs = 7
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"endpoint in another zone": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.Zone = "b"
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"endpoint in another cell": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.Cell = 7
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"attempt cancelled":     func(_ *Pool, a *testAttempt) { a.cancel() },
		"deadline passed":       func(_ *Pool, a *testAttempt) { a.Deadline = time.Now() },
		"dedup deadline passed": func(_ *Pool, a *testAttempt) { a.DedupDeadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
			p := newTestPool(4, b.Address)
			a := newTestAttempt(t, p, "a", testTimeout)
			dial := p.DialContext
			p.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(context.Background(), network, addr)
				change(p, a)
				return c, err
			}
			if result := a.run(); result.Status != balancer.NotAttempted {
				t.Errorf("got status %v", result.Status)
			}
			p.ApplyEndpoints(true, nil) // closes idle connections
			backendtest.Receive(t, "close", b.Closed)
			if b.Requests.Load() != 0 || p.Stats().Open != 0 {
				t.Errorf("%d requests received, %d connections open", b.Requests.Load(), p.Stats().Open)
			}
		})
	}
}

// partialWriteConn is a connection whose Write writes only five bytes and fails.
type partialWriteConn struct{ *net.TCPConn }

func (c partialWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b[:5])
	return n, cmp.Or(err, net.ErrClosed)
}

// If a write fails before the last byte, the endpoint cannot have run the request.
func TestAttemptReportsPartialWriteAsConnectFailure(t *testing.T) {
	p := newTestPool(4, backendtest.Start(t, backendtest.Hang(t)).Address)
	dial := p.DialContext
	p.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return partialWriteConn{c.(*net.TCPConn)}, err
	}
	if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.ConnectFailed {
		t.Errorf("got status %v", result.Status)
	}
}

func TestAttemptForwardsRequestUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := backendtest.Start(t, func(w io.Writer, r *http.Request, _ int) bool {
		got <- r
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	newTestAttempt(t, newTestPool(4, b.Address), "a", 900*time.Millisecond+testTimeout).run()
	r := backendtest.Receive(t, "request", got)
	if r.RequestURI != "/look/k%2f1?x=%20y" || r.Host != "backend.local" || r.Header.Get("Request-Id") != "1" {
		t.Errorf("got %s %s %v", r.RequestURI, r.Host, r.Header)
	}
	if ms := r.Header.Get("Request-Timeout-Ms"); len(ms) != 5 || ms > "20900" {
		t.Errorf("Request-Timeout-Ms %q", ms)
	}
}
