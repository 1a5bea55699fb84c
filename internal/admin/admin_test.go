package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeOperations records the operations that are run, and returns err from each of them.
type fakeOperations struct {
	err      error
	settings string

	mu    sync.Mutex
	calls []string
}

func (f *fakeOperations) record(ctx context.Context, name, argument string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > OperationTimeout {
		return errors.New("the call has no deadline")
	}
	f.calls = append(f.calls, name+" "+argument)
	return f.err
}

// takeCalls returns the calls that have been recorded since the previous takeCalls.
func (f *fakeOperations) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

func (f *fakeOperations) Ready() (string, error) { return f.settings, f.err }

func (f *fakeOperations) Detach(ctx context.Context, backendID string) error {
	return f.record(ctx, "detach", backendID)
}

func (f *fakeOperations) Attach(ctx context.Context, backendID string) error {
	return f.record(ctx, "attach", backendID)
}

func (f *fakeOperations) SetLameDuck(ctx context.Context, on bool) error {
	return f.record(ctx, "lame duck", fmt.Sprint(on))
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startServer starts a server that is closed when the test ends, and returns its address.
func startServer(t *testing.T, operations Operations, log io.Writer) string {
	t.Helper()
	s := NewServer(operations, slog.New(slog.NewTextHandler(log, nil)))
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-serveResult; err != nil {
			t.Error(err)
		}
	})
	return s.Addr().String()
}

// request makes a call and returns the response and its body.
func request(t *testing.T, address, method, path, body string) (resp *http.Response, line string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if resp, err = http.DefaultClient.Do(req); err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(answer)
}

func TestServerRunsCalls(t *testing.T) {
	operations := &fakeOperations{settings: "settings=1"}
	address := startServer(t, operations, io.Discard)
	for _, c := range []struct {
		method, path, body string
		calls              []string
		line               string
	}{
		{"GET", "/_ready", "", nil, "ok settings=1\n"},
		{"POST", "/_backends/detach", "a", []string{"detach a"}, "ok\n"},
		{"POST", "/_backends/attach", " a\n", []string{"attach a"}, "ok\n"},
		{"POST", "/_lameduck/on", "", []string{"lame duck true"}, "ok\n"},
		{"POST", "/_lameduck/off", "", []string{"lame duck false"}, "ok\n"},
	} {
		t.Run(c.path, func(t *testing.T) {
			resp, line := request(t, address, c.method, c.path, c.body)
			if resp.StatusCode != 200 || line != c.line || !resp.Close {
				t.Errorf("got %s %q, close %v", resp.Status, line, resp.Close)
			}
			if calls := operations.takeCalls(); !slices.Equal(calls, c.calls) {
				t.Errorf("ran %q", calls)
			}
		})
	}
}

func TestServerRejectsInvalidCalls(t *testing.T) {
	operations := &fakeOperations{}
	address := startServer(t, operations, io.Discard)
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		line               string
	}{
		"unknown path":    {"GET", "/", "", 404, "no such call\n"},
		"query":           {"GET", "/_ready?x=1", "", 404, "no such call\n"},
		"wrong method":    {"GET", "/_backends/detach", "", 405, "the call requires method POST\n"},
		"missing id":      {"POST", "/_backends/detach", "", 400, "the body must be the id of a backend, or empty if the call takes none\n"},
		"body not wanted": {"POST", "/_lameduck/on", "now", 400, "the body must be the id of a backend, or empty if the call takes none\n"},
		"body too large":  {"POST", "/_backends/attach", strings.Repeat("a", MaxBodyBytes+1), 413, "the body is too large\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, line := request(t, address, c.method, c.path, c.body)
			if resp.StatusCode != c.status || line != c.line || resp.Header.Get("Content-Type") != "text/plain" {
				t.Errorf("got %s %q", resp.Status, line)
			}
			if allow := resp.Header.Get("Allow"); c.status == 405 && allow != "POST" {
				t.Errorf("allows %q", allow)
			}
		})
	}
	if calls := operations.takeCalls(); len(calls) > 0 {
		t.Errorf("ran %q", calls)
	}
}

func TestServerReturnsErrorOfFailedOperation(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
	}{
		{ErrUnknownBackend, 404},
		{fmt.Errorf("wrapped: %w", ErrUnknownBackend), 404},
		{errors.New("not done yet"), 503},
		{context.DeadlineExceeded, 503},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			address := startServer(t, &fakeOperations{err: c.err}, io.Discard)
			for _, call := range []struct{ method, path, body string }{
				{"GET", "/_ready", ""}, {"POST", "/_backends/detach", "a"}, {"POST", "/_lameduck/on", ""}} {
				resp, line := request(t, address, call.method, call.path, call.body)
				if resp.StatusCode != c.status || line != c.err.Error()+"\n" {
					t.Errorf("%s: got %s %q", call.path, resp.Status, line)
				}
			}
		})
	}
}

// docs/oncall.md documents the log lines.
func TestServerLogsCallsExceptReady(t *testing.T) {
	var log lockedBuffer
	address := startServer(t, &fakeOperations{}, &log)
	request(t, address, "GET", "/_ready", "")
	request(t, address, "POST", "/_backends/detach", "a")
	got := log.String()
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, "msg=console call=/_backends/detach id=a status=200 answer=ok\n") {
		t.Errorf("got %q", got)
	}
}

func TestServerRejectsIncompleteBody(t *testing.T) {
	address := startServer(t, &fakeOperations{}, io.Discard)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(c) // the connection may be reset, as its body is incomplete
	if !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") || !strings.HasSuffix(string(answer), "the body is incomplete or malformed\n") {
		t.Errorf("got %q", answer)
	}
}

func TestListenFailsOnAddressInUse(t *testing.T) {
	address := startServer(t, &fakeOperations{}, io.Discard)
	err := NewServer(&fakeOperations{}, slog.New(slog.DiscardHandler)).Listen(address)
	if err == nil || !strings.Contains(err.Error(), "console: cannot listen: ") {
		t.Errorf("got %v", err)
	}
}
