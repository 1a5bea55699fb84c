package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/message"
)

func TestAttemptReportsStatusOfResponse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balancer.Status
	}{
		{"complete", backendtest.OK, balancer.OK},
		{"complete in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"informational response first", "HTTP/1.1 100 Continue\r\n\r\n" + backendtest.OK, balancer.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"500 with Not-Started", "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"503 with Not-Started", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504 with Not-Started", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"503 without Not-Started", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"504 with Not-Started 0", "HTTP/1.1 504 No\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"closed connection", "", balancer.Reset},
		{"incomplete head", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.Reset},
		{"incomplete chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.Reset},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.OK},
		{"no length, to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", balancer.OK},
		{"no length, version 1.0", "HTTP/1.0 200 OK\r\n\r\nok", balancer.OK},
		{"no length, error", "HTTP/1.1 500 Oops\r\n\r\nok", balancer.Error},
		{"no length, 503 with Not-Started", "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n", balancer.Error},
		{"body over the limit", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", message.MaxBody+1), balancer.Error},
		{"other protocol", "SSH-2.0-x\r\n\r\n", balancer.Reset},
		{"random bytes", "\xfai\x19\xce\xea\r\n\r\n", balancer.Reset},
		{"status line without status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"header without colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", balancer.Reset},
		{"two framings", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Reset},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", balancer.Reset},
		{"length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), balancer.Error},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16), balancer.Reset},
		{"endless informational responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000), balancer.Reset},
		{"503 with Not-Started and an incomplete body", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx", balancer.Reset},
		{"two informational responses first", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + backendtest.OK, balancer.OK},
		{"malformed load report", "HTTP/1.1 200 OK\r\nServer-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.OK},
		{"random bytes after the response", backendtest.OK + "\xfai\x19\xce", balancer.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(c.text, false))
			p := newTestPool(4, b.Address)
			result := newTestAttempt(t, p, "a", testTimeout).run()
			if result.Status != c.want || c.want == balancer.OK && string(result.Body) != "ok" {
				t.Errorf("got %v %q, want %v", result.Status, result.Body, c.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("%d requests received", n)
			}
		})
	}
}

// The backend keeps the connection open after an incomplete response.
func TestAttemptGivesUpStalledResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length beyond the body":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"incomplete head":             "HTTP/1.1 200 OK\r\nContent-",
		"no length and no end":        "HTTP/1.1 200 OK\r\n\r\nok",
		"informational response only": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(text, true))
			p := newTestPool(4, b.Address)
			a := newTestAttempt(t, p, "a", time.Hour)
			a.StallTimeout = ResponseStallTimeout
			if result := a.run(); result.Status != balancer.Reset {
				t.Errorf("got status %v", result.Status)
			}
			backendtest.Receive(t, "close", b.Closed)
			if p.Stats().Open != 0 {
				t.Errorf("%d connections open", p.Stats().Open)
			}
		})
	}
}

// A request that cannot be sent again has the time until its deadline, however long its backend pauses.
func TestAttemptWithoutStallTimeoutWaitsUntilDeadline(t *testing.T) {
	const timeout = 2 * ResponseStallTimeout
	b := backendtest.Start(t, backendtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true))
	begin := time.Now()
	a := newTestAttempt(t, newTestPool(4, b.Address), "a", timeout)
	if result := a.run(); result.Status != balancer.TimedOut || time.Since(begin) < timeout {
		t.Errorf("got status %v after %v, want a timeout after %v", result.Status, time.Since(begin), timeout)
	}
	backendtest.Receive(t, "close", b.Closed)
}

// Guards against a truncated body that is taken for a complete one: only a closed connection ends a body without a length,
// not a reset one.
func TestAttemptReportsResetOfResponseWithoutLength(t *testing.T) {
	for name, text := range map[string]string{
		"after a part of the body": "HTTP/1.1 200 OK\r\n\r\nok",
		"before the body":          "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, text)
				backendtest.ResetOnClose(t, w)
				return false
			})
			if result := newTestAttempt(t, newTestPool(4, b.Address), "a", testTimeout).run(); result.Status != balancer.Reset {
				t.Errorf("got status %v with body %q", result.Status, result.Body)
			}
		})
	}
}

// A duplicate of a response must not be read as the response to the next request.
func TestAttemptIgnoresDuplicateResponse(t *testing.T) {
	for name, later := range map[string]bool{"in the same write": false, "2 ms later": true} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%04d", n)
				if !later {
					text += text
				}
				_, _ = io.WriteString(w, text)
				if later {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(w, text)
				}
				return true
			})
			p := newTestPool(100, b.Address)
			for n := range 60 {
				result := newTestAttempt(t, p, "a", testTimeout).run()
				if result.Status != balancer.OK || string(result.Body) != fmt.Sprintf("%04d", n+1) {
					t.Fatalf("request %d: got %v %q", n+1, result.Status, result.Body)
				}
			}
		})
	}
}

// A Not-Started response that is followed by further bytes does not prove that the request was rejected.
func TestAttemptDistrustsNotStartedFollowedByBytes(t *testing.T) {
	for name, text := range map[string]string{
		"another response":        "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n" + backendtest.OK,
		"same response":           "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
		"status line in a header": "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX-Rest: " + backendtest.OK,
		"without length":          "HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(4, backendtest.Start(t, backendtest.Respond(text, false)).Address)
			if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.Reset && result.Status != balancer.Error {
				t.Errorf("got status %v", result.Status)
			}
		})
	}
}
