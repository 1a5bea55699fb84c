package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/clientconn"
	"baylock/internal/downstream"
	"baylock/internal/message"
)

// An invalid request is rejected at once, even if its body never arrives, and its connection is closed. Neither the request
// nor anything hidden in its body or sent after it is forwarded.
func TestProxyRejectsInvalidRequests(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no class":            {"GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n", 400},
		"unknown class":       {strings.ReplaceAll(lookRequest("1", 9), "look", "leap"), 400},
		"bad class, no body":  {strings.ReplaceAll(postHead("1", "Content-Length: 9"), "post", "past"), 400},
		"hundreds pipelined":  {strings.Repeat(strings.ReplaceAll(lookRequest("1", 9), "look", "leap"), 300), 400},
		"wrong path":          {strings.Replace(lookRequest("1", 9), "/look", "/rate", 1), 400},
		"absolute target":     {strings.Replace(lookRequest("1", 9), "/look", "http://h/look", 1), 400},
		"missing id":          {strings.Replace(lookRequest("1", 9), "Request-Id", "Other", 1), 400},
		"oversized id":        {lookRequest(strings.Repeat("1", 9000), 9), 400},
		"two ids":             {strings.Replace(lookRequest("1", 9), "Tenant: acme", "Request-Id: 2", 1), 400},
		"wrong method":        {strings.Replace(lookRequest("1", 9), "GET", "PUT", 1), 405},
		"unexpected key":      {strings.Replace(lookRequest("1", 9), "Tenant", "Idempotency-Key", 1), 400},
		"missing key":         {strings.ReplaceAll(postHead("1", "Content-Length: 0"), "post", "rate"), 400},
		"body on a GET":       {strings.Replace(lookRequest("1", 9), "Tenant: acme", "Content-Length: 2", 1) + "ab", 400},
		"invalid timeout":     {strings.Replace(lookRequest("1", 9), "-Ms: 9", "-Ms: soon", 1), 400},
		"empty timeout":       {strings.Replace(lookRequest("1", 9), "-Ms: 9", "-Ms:", 1), 400},
		"negative timeout":    {lookRequest("1", -5), 400},
		"no timeout":          {strings.Replace(lookRequest("1", 9), "Request-Timeout-Ms", "Other", 1), 400},
		"too large":           {postHead("3", fmt.Sprint("Content-Length: ", message.MaxBody+1)), 413},
		"60 MB":               {postHead("3", "Content-Length: 60000000") + strings.Repeat("x", 100000), 413},
		"negative length":     {postHead("3", "Content-Length: -4"), 400},
		"non-numeric length":  {postHead("3", "Content-Length: ten"), 400},
		"two lengths":         {postHead("3", "Content-Length: 2\r\nContent-Length: 5") + "hello", 400},
		"malformed chunk":     {postHead("3", "Transfer-Encoding: chunked") + "3\r\nabcd\r\n0\r\n\r\n", 400},
		"chunks never arrive": {postHead("3", "Transfer-Encoding: chunked"), 400},
		"chunks on a GET":     {strings.Replace(lookRequest("1", 9), "Tenant: acme", "Transfer-Encoding: chunked", 1) + "0\r\n\r\n", 400},
		"chunked twice":       {postHead("3", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") + "0\r\n\r\n", 501},
		"length and chunked":  {postHead("3", "Content-Length: 4\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + lookRequest("4", 4000), 400},
		"chunked and length":  {postHead("3", "Transfer-Encoding: chunked\r\nContent-Length: 5") + "0\r\n\r\n" + lookRequest("4", 4000), 400},
		"unknown coding":      {postHead("3", "Content-Length: 4\r\nTransfer-Encoding: xchunked") + "abcd", 501},
		"chunked, HTTP/1.0":   {strings.Replace(postHead("3", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "1.1", "1.0", 1), 505},
		"not HTTP":            {"what is this\r\n\r\n", 400},
		"oversized head":      {"GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4*clientconn.MaxHead) + "\r\n\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			cl := connect(t, p)
			cl.send(t, c.text)
			if resp, _ := cl.readResponse(t); resp.StatusCode != c.want || !resp.Close {
				t.Errorf("got %s, close %v, want the status of the case and a closed connection", resp.Status, resp.Close)
			}
			if rest, _ := io.ReadAll(cl.r); len(rest) > 0 { // a reset also closes the connection
				t.Errorf("after the response got %q, want nothing", rest)
			}
		})
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// Guards against an invalid request that the proxy answers with 200 although no backend has run it.
func TestProxyServesOnlyRequestsThatBackendRuns(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	for line, want := range map[string]int{
		"OPTIONS *":             400,
		"OPTIONS /look/k":       405,
		"OPTIONS /_health":      400,
		"HEAD /_health":         400,
		"POST /_health":         400,
		"GET /_health/../look":  400,
		"GET http://h/_health2": 400,
	} {
		t.Run(line, func(t *testing.T) {
			c := connect(t, p)
			c.send(t, strings.Replace(lookRequest("1", 4000), "GET /look/k", line, 1))
			resp, err := http.ReadResponse(c.r, &http.Request{Method: strings.Fields(line)[0]})
			if err != nil || resp.StatusCode != want || !resp.Close {
				t.Errorf("got %+v, %v, want %d and a closed connection", resp, err, want)
			}
		})
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// Guards against request smuggling: a head with two framings that was not checked because empty lines precede it.
func TestProxyRejectsTwoFramingsAfterEmptyLines(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	for name, empty := range map[string]string{"one": "\r\n", "two": "\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			before := b.Requests.Load()
			c := connect(t, p)
			c.send(t, shortPost("1"))
			if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
				t.Fatalf("got %s for the valid request, want 200", resp.Status)
			}
			c.send(t, empty+postHead("2", "Content-Length: 4\r\nTransfer-Encoding: chunked")+"0\r\n\r\n")
			if resp, _ := c.readResponse(t); resp.StatusCode != 400 || !resp.Close {
				t.Errorf("got %s, close %v, want 400 and a closed connection", resp.Status, resp.Close)
			}
			if n := b.Requests.Load() - before; n != 1 {
				t.Errorf("%d requests were forwarded, want only the valid one", n)
			}
		})
	}
}

// Guards against request smuggling: a head with two framings whose start arrived together with the request before it.
func TestProxyRejectsTwoFramingsInPipelinedHead(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	c := connect(t, p)
	head := postHead("2", "Content-Length: 4\r\nTransfer-Encoding: chunked")
	start, rest, _ := strings.Cut(head, "Transfer-Encoding")
	c.send(t, shortPost("1")+start)
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Fatalf("got %s for the valid request, want 200", resp.Status)
	}
	c.send(t, "Transfer-Encoding"+rest+"0\r\n\r\n")
	if resp, _ := c.readResponse(t); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("got %s, close %v, want 400 and a closed connection", resp.Status, resp.Close)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests were forwarded, want only the valid one", n)
	}
}

// A connection is closed by a timeout if no request arrives on it, or if the request is never complete.
func TestProxyClosesUnfinishedRequests(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	var all sync.WaitGroup
	for name, text := range map[string]string{"silent": "", "partial head": "GET /look/k HTTP/1.1\r\nHos",
		"partial body": postHead("3", "Content-Length: 9") + "abc"} {
		c := connect(t, p)
		c.send(t, text)
		start := time.Now()
		all.Go(func() {
			if got, err := io.ReadAll(c.r); err != nil || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("%s: got %q, %v after %v, want a 4xx response or none", name, got, err, time.Since(start))
			}
		})
	}
	all.Wait()
	backendtest.WaitUntil(t, func() bool { return p.clients.Stats().Open == 0 })
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// A client with less than a millisecond left sends a timeout of 0. That is a valid request: it is rejected with 503, and
// its connection stays open.
func TestZeroTimeoutIsRejectedWithoutClosing(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	c := connect(t, p)
	for _, id := range []string{"1", "2"} {
		c.send(t, lookRequest(id, 0))
		if resp, _ := c.readResponse(t); resp.StatusCode != 503 || resp.Close {
			t.Errorf("got %s, close %v, want 503 and an open connection", resp.Status, resp.Close)
		}
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}

// The read deadline for a request body is cleared when the body has arrived, and must not cancel the request in flight.
func TestBodyDeadlineDoesNotLimitResponse(t *testing.T) {
	p, _ := startProxyAndBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		time.Sleep(downstream.FirstRequestTimeout + 200*time.Millisecond)
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	c := connect(t, p)
	c.send(t, postHead("3", "Content-Length: 3")+"abc")
	if resp, body := c.readResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s, want 200", resp.Status)
	}
}
