package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/message"
	"baylock/internal/socket"
)

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
			begun := make(chan *testAttempt, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(time.Until((<-begun).DedupDeadline.Add(50 * time.Millisecond))) // nothing is read before
				got, _ := io.ReadAll(c)
				whole <- len(got) > 8<<20 // with its head
			}()
			p := newTestPool(4, l.Addr().String())
			a := newTestAttempt(t, p, "a", patience)
			a.Request.Method = http.MethodPost
			a.Observer = uploadObserver(func(time.Time) time.Time { return time.Now().Add(patience) })
			if body := bytes.Repeat([]byte("0123456789abcde\n"), 1<<19); streamed {
				a.Request.Stream = newRequestStream(t, bytes.NewReader(body), int64(len(body)))
			} else {
				a.Request.Body = body
			}
			a.DedupDeadline = time.Now().Add(500 * time.Millisecond)
			begun <- a
			if res := a.run(); res.Status != balancer.ConnectFailed {
				t.Errorf("got %v", res.Status)
			}
			if backendtest.Receive(t, "end", whole) {
				t.Error("all of it was sent")
			}
		})
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
				b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
					theirs <- w
					_, _ = io.WriteString(w, backendtest.OK)
					return true
				})
				p := newTestPool(4, b.Address)
				dial := p.DialContext
				p.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					ours <- c
					return c, err
				}
				if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.OK {
					t.Fatalf("got %v", res.Status)
				}
				restIdle(p)
				a, looks := newTestAttempt(t, p, "a", patience), 0
				if streamed {
					a.Request.Method, a.Request.Stream = http.MethodPost, newRequestStream(t, strings.NewReader(strings.Repeat("x", 100_000)), 100_000)
					a.Observer = uploadObserver(func(time.Time) time.Time { return a.Deadline })
				}
				a.Request.ClientGone = func() bool { // asked before a connection is taken, and again right before the first byte
					if looks++; looks == 2 {
						_, _ = io.WriteString(<-theirs, stray)
						c := <-ours
						backendtest.WaitUntil(t, func() bool { return !socket.IsQuiet(c) })
					}
					return false
				}
				if res := a.run(); res.Status != balancer.OK || b.Requests.Load() != 2 || b.Connections.Load() != 2 {
					t.Errorf("got %v; %d requests on %d connections", res.Status, b.Requests.Load(), b.Connections.Load())
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
			b := backendtest.StartRaw(t, func(w io.Writer, r *http.Request) bool {
				<-speak
				_, _ = io.WriteString(w, word)
				body, err := io.ReadAll(r.Body)
				whole <- err == nil && len(body) == 20_000
				return false
			})
			p := newTestPool(4, b.Address)
			a := newTestAttempt(t, p, "a", patience)
			a.Request.Method, a.Request.Stream = http.MethodPost, newRequestStream(t, strings.NewReader(strings.Repeat("x", 20_000)), 20_000)
			a.Observer = uploadObserver(func(time.Time) time.Time { return time.Now().Add(patience) })
			a.Request.Stream.SetEndHook(func() { // the client's part has ended, the last piece has not gone out
				close(speak)
				backendtest.WaitUntil(t, a.earlyResponse.Load)
			})
			res := a.run()
			if res.Status != balancer.Rejected && res.Status != balancer.ConnectFailed {
				t.Errorf("got %v", res.Status)
			}
			if backendtest.Receive(t, "end", whole) {
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
	b := backendtest.StartRaw(t, func(_ io.Writer, r *http.Request) bool {
		_, err := io.ReadAll(r.Body)
		whole <- err == nil
		return false
	})
	p := newTestPool(4, b.Address)
	a := newTestAttempt(t, p, "a", patience)
	const length = 25 * 4096 // net/http's buffer is full then, and its last byte goes out before the error
	a.Request.Method, a.Request.Stream = http.MethodPost, newRequestStream(t, &overlong{length}, length)
	if res := a.run(); res.Status != balancer.Reset {
		t.Errorf("got %v", res.Status)
	}
	if !backendtest.Receive(t, "end", whole) {
		t.Error("the test's body did not go out whole")
	}
}

// An answer with another behind it is not to be believed when it says that the request never ran.
func TestANotStartedWithMoreBehindItProvesNothing(t *testing.T) {
	for name, text := range map[string]string{
		"another":        "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n" + backendtest.OK,
		"twice":          "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
		"in its own":     "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX-Rest: " + backendtest.OK,
		"without length": "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(4, backendtest.Start(t, backendtest.Respond(text, false)).Address)
			if res := newTestAttempt(t, p, "a", patience).run(); res.Status != balancer.Reset && res.Status != balancer.Error {
				t.Errorf("got %v", res.Status)
			}
		})
	}
}
