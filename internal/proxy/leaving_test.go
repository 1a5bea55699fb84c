package proxy

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/settings"
	"baylock/internal/socket"
)

// startSite starts a proxy with the test settings, of which pairs of texts are replaced; adjust may change it before it
// serves.
func startSite(t *testing.T, adjust func(*Proxy), backends string, replace ...string) *running {
	t.Helper()
	site, err := settings.Decode([]byte(strings.NewReplacer(replace...).Replace(siteText)))
	if err != nil {
		t.Fatal(err)
	}
	known, err := discovery.ParseList([]byte(backends))
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(config.Config{Listen: "127.0.0.1:0", Discovery: startDiscovery(t).addr, Seed: 7, Limits: config.Limits{Sockets: 200}, Site: site,
		Known: known}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	adjust(p)
	return run(t, p)
}

// leaves are the ways in which a client leaves, with the request that it has sent by then.
var leaves = map[string]struct {
	request func(id string) string
	leave   func(t *testing.T, c *client)
}{
	"closes":                   {shortPost, func(_ *testing.T, c *client) { c.Close() }},
	"resets":                   {shortPost, reset},
	"ends its sending":         {shortPost, func(_ *testing.T, c *client) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"ends it in mid-body":      {longPost, func(_ *testing.T, c *client) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"closes behind more bytes": {shortPost, closeBehind},
	"resets behind more bytes": {shortPost, func(t *testing.T, c *client) { c.send(t, "GET /"); reset(t, c) }},
	"closes in mid-body":       {longPost, func(_ *testing.T, c *client) { c.Close() }},
	"resets in mid-body":       {longPost, reset},
	"closes behind a body part": {longPost, func(t *testing.T, c *client) {
		c.send(t, text(1000))
		c.Close()
	}},
}

func shortPost(id string) string { return post(id, "Content-Length: 3") + "abc" }
func longPost(id string) string  { return post(id, "Content-Length: 300000") + text(70_000) }

func reset(t *testing.T, c *client) {
	t.Helper()
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
}

func closeBehind(t *testing.T, c *client) {
	t.Helper()
	c.send(t, "GET /")
	c.Close()
}

// stay waits until only n clients have not left.
func stay(t *testing.T, p *Proxy, n int) {
	t.Helper()
	waitUntil(t, func() bool {
		here := 0
		for _, c := range p.clients.Connections() {
			if !c.ClientGone() {
				here++
			}
		}
		return here == n
	})
}

// Nothing is sent for a client that has left while its request waited, wherever that was. net/http does not see one
// that leaves behind bytes which nobody reads, and a request read late was sent before anybody looked.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	for how, l := range leaves {
		t.Run("unread, "+how, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, says(served, true))
			left, accepted := make(chan struct{}), make(chan struct{})
			p := startSite(t, func(p *Proxy) {
				p.clients.Listener = gatedListener{Listener: p.clients.Listener, gate: func(c net.Conn) net.Conn {
					<-left
					for !socket.PeerClosed(c) {
						time.Sleep(time.Millisecond)
					}
					close(accepted)
					return c
				}}
			}, listText(1, true, listed("a", b.addr, discovery.Serving)))
			c := connect(t, p)
			c.send(t, l.request("1"))
			l.leave(t, c)
			close(left)
			wait(t, "accept", accepted)
			onlySent(t, p, b, 0)
		})
		t.Run("in a slow dial, "+how, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, says(served, true))
			dialling, proceed := make(chan struct{}), make(chan struct{})
			p := startSite(t, func(p *Proxy) {
				dial := p.loop.pool.DialContext
				p.loop.pool.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(context.Background(), network, addr)
					close(dialling)
					<-proceed
					return c, err
				}
			}, listText(1, true, listed("a", b.addr, discovery.Serving)))
			c := connect(t, p)
			c.send(t, l.request("1"))
			wait(t, "dial", dialling)
			l.leave(t, c)
			stay(t, p.Proxy, 0)
			close(proceed)
			onlySent(t, p, b, 0)
		})
		t.Run("between attempts, "+how, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, says(served, true))
			dialling, proceed := make(chan struct{}), make(chan struct{})
			first := true
			p := startSite(t, func(p *Proxy) {
				dial := p.loop.pool.DialContext
				p.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if !first {
						return dial(ctx, network, addr)
					}
					first = false
					close(dialling)
					<-proceed
					return nil, net.ErrClosed
				}
			}, listText(1, true, listed("a", b.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)))
			c := connect(t, p)
			c.send(t, l.request("1"))
			wait(t, "dial", dialling)
			l.leave(t, c)
			stay(t, p.Proxy, 0)
			close(proceed)
			onlySent(t, p, b, 0)
		})
		t.Run("in the module, "+how, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			b := startBackend(t, holds(release))
			p := startSite(t, func(*Proxy) {}, listText(1, true, listed("a", b.addr, discovery.Serving)),
				`"name":"post"`, `"by_arrival":true,"name":"post"`)
			first := connect(t, p)
			first.send(t, shortPost("h"))
			waitUntil(t, func() bool { return b.requests.Load() == 1 })
			c := connect(t, p)
			c.send(t, l.request("1"))
			waitUntil(t, func() bool { return p.knows("1") })
			l.leave(t, c)
			stay(t, p.Proxy, 1)
			close(release)
			if resp, _ := first.answer(t); resp.StatusCode != 200 {
				t.Errorf("the first: got %s", resp.Status)
			}
			first.Close()
			onlySent(t, p, b, 1)
		})
	}
}

// knows tells whether the loop has a request.
func (p *running) knows(id string) bool {
	got := make(chan bool, 1)
	p.onLoop(func() { got <- p.loop.requests[id] != nil })
	return <-got
}

// onlySent waits until nothing is left of any request, and tells whether bytes of others than n have reached the backend.
func onlySent(t *testing.T, p *running, b *fakeBackend, n int32) {
	t.Helper()
	waitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	nothingLeft(t, p)
	p.loop.pool.ApplyEndpoints(true, nil) // closes what is idle, so that the backend has read all that was sent
	waitUntil(t, func() bool { return len(b.closed) == int(b.conns.Load()) })
	if got := b.begun.Load(); got != n {
		t.Errorf("%d requests were begun", got)
	}
}
