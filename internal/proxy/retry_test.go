package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"baylock/internal/backendtest"
)

const errorResponse = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"

// rateRequest returns a request of the class rate, whose requests are deduplicated by an idempotency key.
func rateRequest(id string) string {
	return "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: rate\r\n" +
		"Request-Timeout-Ms: 8000\r\nIdempotency-Key: x\r\nContent-Length: 3\r\n\r\nabc"
}

// A retry is not sent if its connection is established only after the deduplication window has ended, even though the
// balancer decided on it in time. The backend may have forgotten the first attempt by then, and run the request twice. The
// client gets its response at once.
func TestRetryIsNotSentAfterDedupWindow(t *testing.T) {
	const window = time.Second
	for name, late := range map[string]bool{"dial canceled by its context": false, "dial returning late": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := backendtest.Start(t, backendtest.Respond(errorResponse, false))
			var first time.Time
			p := startAdjustedProxy(t, func(p *Proxy) {
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
			}, servingList(b), `"dedup_window_us":9000000`, `"dedup_window_us":1000000`,
				`"objective_us":1000000`, `"objective_us":2600000`) // a hanging attempt times out only after the window
			c := connect(t, p)
			c.send(t, rateRequest("1"))
			resp, _ := c.readResponse(t)
			if resp.StatusCode != http.StatusBadGateway {
				t.Errorf("got %s, want 502", resp.Status)
			}
			if took := time.Since(first); took > window+5*time.Second {
				t.Errorf("answered after %v", took)
			}
			c.Close()
			checkRequestsStarted(t, p, b, 1)
		})
	}
}

// Within the window, a retry is sent to an endpoint in the deduplication scope of its class.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, errorResponse)
		} else {
			_, _ = io.WriteString(w, backendtest.OK)
		}
		return true
	})
	p := startAdjustedProxy(t, func(*Proxy) {}, servingList(b))
	c := connect(t, p)
	c.send(t, rateRequest("1"))
	if resp, _ := c.readResponse(t); resp.StatusCode != http.StatusOK || b.Requests.Load() != 2 {
		t.Errorf("got %s after %d attempts, want 200 after 2", resp.Status, b.Requests.Load())
	}
}

// If the backend closes the connection within the body of a long response, the client still gets the head. If its
// connection were closed without any response byte, the client would assume that the request was never read and send it
// again.
func TestHeadOfTruncatedResponseIsForwarded(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", false))
	c := connect(t, p)
	c.send(t, shortPost("1"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %s with %d bytes, %v, want a truncated body", resp.Status, len(body), err)
	}
	waitUntilIdle(t, p)
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}
