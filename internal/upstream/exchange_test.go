package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/discovery"
	"baylock/internal/message"
	"baylock/internal/socket"
)

// What comes back decides what the module is told, and with it whether a call may run again.
func TestOutcomeTable(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balancer.Status
	}{
		{"served", backendtest.OK, balancer.OK},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"early word first", "HTTP/1.1 100 Continue\r\n\r\n" + backendtest.OK, balancer.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"an error is never full", "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"full", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"over already", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"503 without the proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"504 without the proof", "HTTP/1.1 504 No\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"closed", "", balancer.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.Reset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.Reset},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.Reset},
		{"too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", message.MaxBody+1), balancer.Error},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", balancer.Reset},
		{"noise", "\xfai\x19\xce\xea\r\n\r\n", balancer.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"no colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", balancer.Reset},
		{"two framings", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Reset},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", balancer.Reset},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), balancer.Error},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16), balancer.Reset},
		{"early words without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000), balancer.Reset},
		{"spoilt proof", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx", balancer.Reset},
		{"two early words", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + backendtest.OK, balancer.OK},
		{"load that can't be read", "HTTP/1.1 200 OK\r\nServer-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.OK},
		{"noise behind", backendtest.OK + "\xfai\x19\xce", balancer.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(c.text, false))
			p := newTestPool(4, b.Address)
			res := newTestAttempt(t, p, "a", patience).run()
			if res.Status != c.want || c.want == balancer.OK && string(res.Body) != "ok" {
				t.Errorf("got %v %q, want %v", res.Status, res.Body, c.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("%d requests came", n)
			}
		})
	}
}

// The connection stays open behind what is spoilt. An answer that never ends was waited for until the
// request's time was up.
func TestAnAnswerThatDoesNotEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"length beyond the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"half a head":            "HTTP/1.1 200 OK\r\nContent-",
		"early word alone":       "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(text, true))
			p := newTestPool(4, b.Address)
			if res := newTestAttempt(t, p, "a", time.Hour).run(); res.Status != balancer.Reset {
				t.Errorf("got %v", res.Status)
			}
			backendtest.Receive(t, "close", b.Closed)
			if p.open != 0 {
				t.Errorf("%d connections open", p.open)
			}
		})
	}
}

// A second copy right behind an answer, in one write or a little later, is nobody's answer.
func TestWhatFollowsAnAnswerIsNeverTheNextOne(t *testing.T) {
	for name, apart := range map[string]bool{"in one write": false, "apart": true} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%04d", n)
				if !apart {
					text += text
				}
				_, _ = io.WriteString(w, text)
				if apart {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(w, text)
				}
				return true
			})
			p := newTestPool(100, b.Address)
			for n := range 60 {
				res := newTestAttempt(t, p, "a", patience).run()
				if res.Status != balancer.OK || string(res.Body) != fmt.Sprintf("%04d", n+1) {
					t.Fatalf("request %d: got %v %q", n+1, res.Status, res.Body)
				}
			}
		})
	}
}

func TestARefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := newTestPool(4, l.Addr().String())
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.ConnectFailed {
		t.Errorf("got %v", res.Status)
	}
	if p.open != 0 {
		t.Errorf("%d connections still counted", p.open)
	}
}

func TestAHungBackendTimesOutAndLosesItsConnection(t *testing.T) {
	b := backendtest.Start(t, backendtest.Hang(t))
	p := newTestPool(4, b.Address)
	if res := newTestAttempt(t, p, "a", 50*time.Millisecond).run(); res.Status != balancer.TimedOut {
		t.Errorf("got %v", res.Status)
	}
	if p.open != 0 || len(p.endpoints["a"].idle) != 0 {
		t.Error("the connection is kept")
	}
}

func TestAStoppedAttemptClosesItsConnection(t *testing.T) {
	came := make(chan struct{}, 1)
	gone := make(chan error, 1)
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		_, err := w.(net.Conn).Read(make([]byte, 1))
		gone <- err
		return false
	})
	p := newTestPool(4, b.Address)
	a := newTestAttempt(t, p, "a", patience)
	results := make(chan Result, 1)
	go func() { results <- a.run() }()
	backendtest.Receive(t, "request", came)
	a.cancel()
	if res := backendtest.Receive(t, "result", results); res.Status != balancer.Cancelled {
		t.Errorf("got %v", res.Status)
	}
	if err := backendtest.Receive(t, "end of the connection", gone); err == nil {
		t.Error("the connection is still open")
	}
}

// The peer closes a kept connection; a request that ran into it was sent a second time by http.Transport.
func TestAConnectionThatItsPeerClosedIsNotUsed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, false)) // promises to stay, then closes
	p := newTestPool(4, b.Address)
	for n := range 3 {
		if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
			t.Fatalf("attempt %d: got %v", n, res.Status)
		}
		backendtest.Receive(t, "close", b.Closed)
		backendtest.WaitUntil(t, func() bool { // the news has reached this end
			p.mu.Lock()
			defer p.mu.Unlock()
			return !socket.IsQuiet(p.endpoints["a"].idle[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Connections.Load() != 3 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Connections.Load())
	}
	p.Sweep(time.Now())
	if p.open != 0 {
		t.Errorf("%d connections open after the sweep", p.open)
	}
}

// The close crosses the request: exactly one send, and it may have run.
func TestACloseThatCrossesTheRequestIsOneReset(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, backendtest.OK)
		}
		return n == 1
	})
	p := newTestPool(4, b.Address)
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
		t.Fatalf("got %v", res.Status)
	}
	restIdle(p)
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.Reset {
		t.Errorf("got %v", res.Status)
	}
	if b.Requests.Load() != 2 || b.Connections.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Connections.Load())
	}
}

// Backends dropped idle connections without a word long before the settings' time. Each request written to one
// was reset, and those that are unsafe to repeat failed.
func TestAfterAStaleConnectionOlderOnesAreNotUsed(t *testing.T) {
	var drop atomic.Bool
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		if drop.Swap(false) {
			return false
		}
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	p := newTestPool(4, b.Address)
	p.staleResetWindow = patience
	send := func(want balancer.Status, conns int32) {
		t.Helper()
		if res := newTestAttempt(t, p, "a", patience).run(); res.Status != want || b.Connections.Load() != conns {
			t.Fatalf("got %v on connection %d, want %v on %d", res.Status, b.Connections.Load(), want, conns)
		}
	}
	send(balancer.OK, 1)
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 1) // nothing speaks against it yet
	ageIdle(p, 2*time.Second)
	drop.Store(true)
	send(balancer.Reset, 1)
	send(balancer.OK, 2)
	ageIdle(p, 1500*time.Millisecond)
	send(balancer.OK, 3) // the old one is not tried
	ageIdle(p, 500*time.Millisecond)
	send(balancer.OK, 3)
	for range 100 { // with no further evidence trust comes back
		p.Sweep(time.Now())
	}
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 3)
	p.advanceGenerationLocked(p.endpoints["a"]) // closes what is idle
	drop.Store(true)
	send(balancer.Reset, 4) // a new connection's reset says nothing of idle ones
	send(balancer.OK, 5)
	ageIdle(p, 2*time.Second)
	send(balancer.OK, 5)
}

func TestTheMostRecentConnectionIsUsedFirstAndOldOnesAreClosed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
	p := newTestPool(4, b.Address)
	e := p.endpoints["a"]
	var two []*conn
	for range 3 {
		c, err := findTarget(t, p, "a").dial(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		two = append(two, c)
	}
	p.put(two[0])
	p.put(two[1])
	restIdle(p)
	p.put(two[2])
	if c := findTarget(t, p, "a").reuse(); c != two[1] {
		t.Error("not the most recent one of those that have rested")
	}
	p.put(two[1])
	p.Sweep(time.Now().Add(p.idleTimeout))
	if len(e.idle) != 0 || p.open != 0 {
		t.Errorf("%d idle, %d open", len(e.idle), p.open)
	}
}

// A dial takes time. In it the backend may drain, or the request's time may run out; nothing is sent then.
func TestNothingIsSentAfterADialThatTookTooLong(t *testing.T) {
	for name, meanwhile := range map[string]func(p *Pool, a *testAttempt){
		"drained": func(p *Pool, a *testAttempt) {
			p.ApplyEndpoints(false, []discovery.Endpoint{endpointUpdate("a", a.Target.address, discovery.Draining)})
		},
		"gone": func(p *Pool, a *testAttempt) { p.ApplyEndpoints(true, nil) },
		"restarted": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.SinceMs = 7
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"in another zone": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.Zone = "b"
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"in another group": func(p *Pool, a *testAttempt) {
			e := endpointUpdate("a", a.Target.address, discovery.Serving)
			e.Group = 7
			p.ApplyEndpoints(false, []discovery.Endpoint{e})
		},
		"stopped": func(_ *Pool, a *testAttempt) { a.cancel() },
		"late":    func(_ *Pool, a *testAttempt) { a.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(backendtest.OK, true))
			p := newTestPool(4, b.Address)
			a := newTestAttempt(t, p, "a", patience)
			dial := p.DialContext
			p.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(context.Background(), network, addr)
				meanwhile(p, a)
				return c, err
			}
			if res := a.run(); res.Status != balancer.NotAttempted {
				t.Errorf("got %v", res.Status)
			}
			p.ApplyEndpoints(true, nil) // closes what is idle
			backendtest.Receive(t, "close", b.Closed)
			if b.Requests.Load() != 0 || p.open != 0 {
				t.Errorf("%d requests came, %d connections open", b.Requests.Load(), p.open)
			}
		})
	}
}

func TestAtTheSocketLimitAnIdleConnectionMakesRoomOrNoneIsOpened(t *testing.T) {
	quick, slow := backendtest.Start(t, backendtest.Respond(backendtest.OK, true)), backendtest.Start(t, backendtest.Hang(t))
	p := newTestPool(1, quick.Address, slow.Address)
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
		t.Fatalf("got %v", res.Status)
	}
	held := newTestAttempt(t, p, "b", patience)
	results := make(chan Result, 1)
	go func() { results <- held.run() }()
	backendtest.Receive(t, "close of the idle connection", quick.Closed)
	backendtest.WaitUntil(t, func() bool { return slow.Requests.Load() == 1 })
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.NotAttempted {
		t.Errorf("over the limit: got %v", res.Status)
	}
	held.cancel()
	backendtest.Receive(t, "result", results)
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
		t.Errorf("with room again: got %v", res.Status)
	}
}

func TestADialErrorThatIsNoRefusalIsAConnectFailureToo(t *testing.T) {
	p := newTestPool(4, "127.0.0.1:1")
	p.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.ConnectFailed || p.open != 0 {
		t.Errorf("got %v with %d open", res.Status, p.open)
	}
}

// shortConn takes five bytes and no more.
type shortConn struct{ *net.TCPConn }

func (c shortConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b[:5])
	return n, cmp.Or(err, net.ErrClosed)
}

// A write that breaks off before the last byte proves that the call never ran; one that ended does not.
func TestARequestThatWasNotWrittenWholeNeverRan(t *testing.T) {
	p := newTestPool(4, backendtest.Start(t, backendtest.Hang(t)).Address)
	dial := p.DialContext
	p.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		return shortConn{c.(*net.TCPConn)}, err
	}
	if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.ConnectFailed {
		t.Errorf("got %v", res.Status)
	}
}

func TestWhatIsPassedOnIsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := backendtest.Start(t, func(w io.Writer, r *http.Request, _ int) bool {
		got <- r
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	newTestAttempt(t, newTestPool(4, b.Address), "a", 900*time.Millisecond+patience).run()
	r := backendtest.Receive(t, "request", got)
	if r.RequestURI != "/look/k%2f1?x=%20y" || r.Host != "backend.local" || r.Header.Get("Request-Id") != "1" {
		t.Errorf("got %s %s %v", r.RequestURI, r.Host, r.Header)
	}
	if ms := r.Header.Get("Request-Timeout-Ms"); len(ms) != 5 || ms > "20900" {
		t.Errorf("Request-Timeout-Ms %q", ms)
	}
}
