package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"baylock/internal/discovery"
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
				dial := p.loop.pool.DialContext
				p.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
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
