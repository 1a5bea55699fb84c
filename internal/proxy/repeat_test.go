package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/message"
	"baylock/internal/socket"
)

const failed = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"

// rate is a request of the keyed class.
func rate(id string) string {
	return "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: rate\r\n" +
		"Request-Timeout-Ms: 8000\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc"
}

// A repeat that was decided on in time is not sent when its connection came up only after the window for repeats: the
// backend may have forgotten the first attempt by then, and the request would run twice. Its client hears so at once.
func TestNoRepeatIsSentOnceItsWindowIsOver(t *testing.T) {
	const window = time.Second
	for name, late := range map[string]bool{"a connection that comes up late": false, "one that the dialer still returns": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, says(failed, false))
			var first time.Time
			p := startSite(t, func(p *Proxy) {
				dial := p.loop.pool.dialer
				p.loop.pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if first.IsZero() {
						first = time.Now()
						return dial(ctx, network, addr)
					}
					if !late {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					time.Sleep(time.Until(first.Add(window)))
					return dial(context.Background(), network, addr)
				}
			}, listText(1, true, listed("a", b.addr, discovery.Serving)), `"dedup_window_us":9000000`, `"dedup_window_us":1000000`,
				`"objective_us":1000000`, `"objective_us":2600000`) // an attempt that hangs is given up later
			c := connect(t, p)
			c.send(t, rate("1"))
			resp, _ := c.answer(t)
			if resp.StatusCode != http.StatusBadGateway {
				t.Errorf("got %s", resp.Status)
			}
			if took := time.Since(first); took > window+5*time.Second {
				t.Errorf("answered after %v", took)
			}
			c.Close()
			onlySent(t, p, b, 1)
		})
	}
}

// A repeat whose last byte has not gone out when its window ends is broken off, so that it cannot run.
func TestARepeatIsNotWrittenBeyondItsWindow(t *testing.T) {
	for name, streamed := range map[string]bool{"held": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			whole := make(chan bool, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			begun := make(chan *attempt, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(time.Until((<-begun).lapse.Add(50 * time.Millisecond))) // nothing is read before
				got, _ := io.ReadAll(c)
				whole <- len(got) > 8<<20 // with its head
			}()
			p := poolWith(4, l.Addr().String())
			a := newAttempt(p, "a", patience)
			a.req.method = http.MethodPost
			a.uploaded = func(time.Time) time.Time { return time.Now().Add(patience) }
			if body := bytes.Repeat([]byte("0123456789abcde\n"), 1<<19); streamed {
				a.req.rest = newRequestStream(t, bytes.NewReader(body), int64(len(body)))
			} else {
				a.req.body = body
			}
			a.lapse = time.Now().Add(500 * time.Millisecond)
			begun <- a
			if res := a.run(); res.status != balancer.ConnectFailed {
				t.Errorf("got %v", res.status)
			}
			if wait(t, "end", whole) {
				t.Error("all of it was sent")
			}
		})
	}
}

// In the class's own group a repeat goes out while its window lasts.
func TestARepeatInItsWindowIsSent(t *testing.T) {
	b := startBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, failed)
		} else {
			_, _ = io.WriteString(w, served)
		}
		return true
	})
	p := startSite(t, func(*Proxy) {}, listText(1, true, listed("a", b.addr, discovery.Serving)))
	c := connect(t, p)
	c.send(t, rate("1"))
	if resp, _ := c.answer(t); resp.StatusCode != http.StatusOK || b.requests.Load() != 2 {
		t.Errorf("got %s after %d attempts", resp.Status, b.requests.Load())
	}
}

// newRequestStream is a body whose client writes it at once.
func newRequestStream(t *testing.T, body io.Reader, length int64) *message.RequestStream {
	t.Helper()
	return message.NewRequestStream(body, length, http.NewResponseController(httptest.NewRecorder()),
		time.Now().Add(patience))
}

// strays are words of a backend that answer nothing that it was asked, but say that something never ran.
var strays = map[string]string{
	"an answer":   "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
	"another":     "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
	"half a line": "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX-Rest: ",
}

// What a backend says on a connection after it was taken for the next request, and before that is written, is not the
// answer to it: taken for one, it would say that a request never ran which does, and it would be sent again.
func TestAStrayAnswerSaysNothingOfTheNextRequest(t *testing.T) {
	for name, stray := range strays {
		for how, streamed := range map[string]bool{"held": false, "streamed": true} {
			t.Run(name+", "+how, func(t *testing.T) {
				theirs, ours := make(chan io.Writer, 2), make(chan net.Conn, 2)
				b := startBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
					theirs <- w
					_, _ = io.WriteString(w, served)
					return true
				})
				p := poolWith(4, b.addr)
				dial := p.dialer
				p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					ours <- c
					return c, err
				}
				if res := newAttempt(p, "a", patience).run(); res.status != balancer.OK {
					t.Fatalf("got %v", res.status)
				}
				rested(p)
				a, looks := newAttempt(p, "a", patience), 0
				if streamed {
					a.req.method, a.req.rest = http.MethodPost, newRequestStream(t, strings.NewReader(text(100_000)), 100_000)
					a.uploaded = func(time.Time) time.Time { return a.deadline }
				}
				a.req.left = func() bool { // asked before a connection is taken, and again right before the first byte
					if looks++; looks == 2 {
						_, _ = io.WriteString(<-theirs, stray)
						c := <-ours
						waitUntil(t, func() bool { return !socket.IsQuiet(c) })
					}
					return false
				}
				if res := a.run(); res.status != balancer.OK || b.requests.Load() != 2 || b.conns.Load() != 2 {
					t.Errorf("got %v; %d requests on %d connections", res.status, b.requests.Load(), b.conns.Load())
				}
			})
		}
	}
}

// A backend that speaks before it has the whole request has not answered it. Nothing more of it goes out then, so that
// it can't run, though its client has written all of it.
func TestAWordBeforeTheRequestsEndIsNoAnswerToIt(t *testing.T) {
	for name, word := range strays {
		t.Run(name, func(t *testing.T) {
			speak, whole := make(chan struct{}), make(chan bool, 1)
			b := startRawBackend(t, func(w io.Writer, r *http.Request) bool {
				<-speak
				_, _ = io.WriteString(w, word)
				body, err := io.ReadAll(r.Body)
				whole <- err == nil && len(body) == 20_000
				return false
			})
			p := poolWith(4, b.addr)
			a := newAttempt(p, "a", patience)
			a.req.method, a.req.rest = http.MethodPost, newRequestStream(t, strings.NewReader(text(20_000)), 20_000)
			a.uploaded = func(time.Time) time.Time { return time.Now().Add(patience) }
			a.req.rest.SetEndHook(func() { // the client's part has ended, the last piece has not gone out
				close(speak)
				waitUntil(t, a.spoken.Load)
			})
			res := a.run()
			if res.status != balancer.Rejected && res.status != balancer.ConnectFailed {
				t.Errorf("got %v", res.status)
			}
			if wait(t, "end", whole) {
				t.Error("it ran")
			}
		})
	}
}

// overlong reads a body of a told length, and then fails where net/http looks for a surplus.
type overlong struct{ left int }

func (o *overlong) Read(b []byte) (int, error) {
	if o.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(o.left, len(b))
	o.left -= n
	return n, nil
}

// An error of the client's after its last byte proves nothing: that byte may have gone out.
func TestAnErrorBehindTheBodyLeavesInDoubtWhetherItRan(t *testing.T) {
	whole := make(chan bool, 1)
	b := startRawBackend(t, func(_ io.Writer, r *http.Request) bool {
		_, err := io.ReadAll(r.Body)
		whole <- err == nil
		return false
	})
	p := poolWith(4, b.addr)
	a := newAttempt(p, "a", patience)
	const length = 25 * 4096 // net/http's buffer is full then, and its last byte goes out before the error
	a.req.method, a.req.rest = http.MethodPost, newRequestStream(t, &overlong{length}, length)
	if res := a.run(); res.status != balancer.Reset {
		t.Errorf("got %v", res.status)
	}
	if !wait(t, "end", whole) {
		t.Error("the test's body did not go out whole")
	}
}

// An answer with another behind it is not to be believed when it says that the request never ran.
func TestANotStartedWithMoreBehindItProvesNothing(t *testing.T) {
	for name, text := range map[string]string{
		"another":        "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n" + served,
		"twice":          "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
		"in its own":     "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX-Rest: " + served,
		"without length": "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := poolWith(4, startBackend(t, says(text, false)).addr)
			if res := newAttempt(p, "a", patience).run(); res.status != balancer.Reset && res.status != balancer.Error {
				t.Errorf("got %v", res.status)
			}
		})
	}
}

// A long answer of which only the head has come is begun: were the connection to end without a word, its client would
// take the request for unread and send it again.
func TestALongAnswerThatBreaksOffIsBegunAllTheSame(t *testing.T) {
	p, b := serving(t, says("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", false))
	c := connect(t, p)
	c.send(t, shortPost("1"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %s with %d bytes, %v", resp.Status, len(body), err)
	}
	nothingLeft(t, p)
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}
