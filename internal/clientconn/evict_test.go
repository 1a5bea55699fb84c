package clientconn

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/socket"
)

// connPair holds both ends of a connection.
type connPair struct {
	client, server net.Conn
}

// listen returns a listener on the loopback interface that is closed when the test ends.
func listen(t *testing.T, options Options) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, options)
	t.Cleanup(func() { l.Close() })
	return l
}

// connect opens a connection and accepts it. The listener may have closed it to stay within its limit.
func connect(t *testing.T, l *Listener) connPair {
	t.Helper()
	client := dialAndSend(t, l.Addr().String(), "")
	server := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			server <- c
		}
	}()
	return connPair{client, backendtest.Receive(t, "accepted connection", server)}
}

// isOpen reports whether the listener still has the connection open.
func (p connPair) isOpen(l *Listener) bool {
	return slices.ContainsFunc(l.Connections(), func(c *Conn) bool { return net.Conn(c) == p.server })
}

// receive sends text from the client and reads it at the server.
func (p connPair) receive(t *testing.T, text string) {
	t.Helper()
	if _, err := p.client.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if _, err := p.server.Read(make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
}

// setState puts a newly accepted connection into a state.
type setState func(*testing.T, *Listener, connPair)

func TestListenerEvictsConnectionWithoutRequest(t *testing.T) {
	const requestGrace = time.Minute
	idle := func(t *testing.T, l *Listener, p connPair) {
		t.Helper()
		l.TrackState(p.server, http.StateActive)
		l.TrackState(p.server, http.StateIdle)
	}
	unused := func(*testing.T, *Listener, connPair) {}
	oldUnused := func(*testing.T, *Listener, connPair) { time.Sleep(unusedGrace + 10*time.Millisecond) }
	started := func(t *testing.T, _ *Listener, p connPair) { t.Helper(); p.receive(t, "GET /") }
	for name, c := range map[string]struct {
		states  [2]setState // of the connections, in the order in which they are opened
		evicted int         // index of the connection that is evicted for a third one
	}{
		"old unused before idle":       {[2]setState{oldUnused, idle}, 0},
		"idle before young unused":     {[2]setState{unused, idle}, 1},
		"idle longest":                 {[2]setState{idle, idle}, 0},
		"young unused if none is idle": {[2]setState{unused, unused}, 0},
		"not one with started request": {[2]setState{started, unused}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t, Options{MaxConnections: 2, RequestGrace: requestGrace})
			var connections [2]connPair
			for i, state := range c.states {
				connections[i] = connect(t, l)
				state(t, l, connections[i])
			}
			third := connect(t, l)
			if !third.isOpen(l) {
				t.Error("the new connection is closed")
			}
			for i, p := range connections {
				if open := p.isOpen(l); open != (i != c.evicted) {
					t.Errorf("connection %d: open %v", i, open)
				}
			}
		})
	}
}

func TestListenerClosesNewConnectionWhenAllCarryRequests(t *testing.T) {
	l := listen(t, Options{MaxConnections: 1})
	active := connect(t, l)
	l.TrackState(active.server, http.StateActive)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	rejected := dialAndSend(t, l.Addr().String(), "")
	if _, err := rejected.Read(make([]byte, 1)); err == nil {
		t.Error("the new connection is open")
	}
	l.TrackState(active.server, http.StateIdle)
	third := dialAndSend(t, l.Addr().String(), "")
	if c := backendtest.Receive(t, "accepted connection", accepted); c.RemoteAddr().String() != third.LocalAddr().String() {
		t.Errorf("accepted %v, want %v", c.RemoteAddr(), third.LocalAddr())
	}
	if active.isOpen(l) {
		t.Error("the idle connection is open")
	}
}

func TestSetMaxConnectionsClosesIdleConnections(t *testing.T) {
	l := listen(t, Options{MaxConnections: 3})
	active, first, second := connect(t, l), connect(t, l), connect(t, l)
	l.TrackState(active.server, http.StateActive)
	l.TrackState(second.server, http.StateIdle)
	l.TrackState(first.server, http.StateIdle)
	l.SetMaxConnections(2)
	if !active.isOpen(l) || !first.isOpen(l) || second.isOpen(l) {
		t.Errorf("open: active %v, idle %v, idle longest %v", active.isOpen(l), first.isOpen(l), second.isOpen(l))
	}
	l.SetMaxConnections(0)
	if stats := l.Stats(); stats != (Stats{Max: 0, Open: 1}) || !active.isOpen(l) {
		t.Errorf("got %+v, want the active connection alone", stats)
	}
}

func TestCloseIdleClosesExpiredConnections(t *testing.T) {
	l := listen(t, Options{MaxConnections: 10})
	active, idle, unused, started := connect(t, l), connect(t, l), connect(t, l), connect(t, l)
	l.TrackState(active.server, http.StateActive)
	l.TrackState(idle.server, http.StateIdle)
	started.receive(t, "G")
	unread := connect(t, l)
	if _, err := unread.client.Write([]byte("GET /")); err != nil {
		t.Fatal(err)
	}
	backendtest.WaitUntil(t, func() bool { return !socket.IsQuiet(unread.server) }) // its bytes have arrived
	for _, c := range []struct {
		idleFor, unusedFor time.Duration
		remaining          []connPair
	}{
		{time.Hour, time.Hour, []connPair{active, idle, unused, started, unread}},
		{0, time.Hour, []connPair{active, unused, started, unread}},
		{0, 0, []connPair{active, started, unread}},
	} {
		remaining, activeCount := l.CloseIdle(c.idleFor, c.unusedFor)
		if remaining != len(c.remaining) || activeCount != 1 {
			t.Errorf("%v, %v: %d remain, %d active; want %d, 1", c.idleFor, c.unusedFor, remaining, activeCount, len(c.remaining))
		}
		for _, p := range c.remaining {
			if !p.isOpen(l) {
				t.Errorf("%v, %v: a connection that should remain is closed", c.idleFor, c.unusedFor)
			}
		}
	}
}
