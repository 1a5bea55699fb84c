package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fernlanding/logic"
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
			}, listText(1, true, listed("a", b.addr, statusServing)), `"dedup_window_us":9000000`, `"dedup_window_us":1000000`,
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
				a.req.rest = newUpload(t, body)
			} else {
				a.req.body = body
			}
			a.lapse = time.Now().Add(500 * time.Millisecond)
			begun <- a
			if res := a.run(); res.status != logic.ConnectFailed {
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
	p := startSite(t, func(*Proxy) {}, listText(1, true, listed("a", b.addr, statusServing)))
	c := connect(t, p)
	c.send(t, rate("1"))
	if resp, _ := c.answer(t); resp.StatusCode != http.StatusOK || b.requests.Load() != 2 {
		t.Errorf("got %s after %d attempts", resp.Status, b.requests.Load())
	}
}

// newUpload is a body that its client writes at once.
func newUpload(t *testing.T, body []byte) *upload {
	t.Helper()
	return &upload{from: bytes.NewReader(body), length: int64(len(body)), over: make(chan struct{}),
		control: http.NewResponseController(httptest.NewRecorder()), start: time.Now().Add(patience)}
}
