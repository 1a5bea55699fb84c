package traffic

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func startBackend(t *testing.T, next *Client) *Backend {
	t.Helper()
	backend, err := StartBackend(next, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	return backend
}

func call(id string) Call {
	return Call{ID: id, Class: "read", Tenant: "tenant-a", TimeoutMs: 60_000}
}

func TestCallPassesAllTiers(t *testing.T) {
	last := startBackend(t, nil)
	middle := startBackend(t, NewClient(last.Address))
	first := startBackend(t, NewClient(middle.Address))
	client := NewClient(first.Address)
	defer client.Close()
	const calls = 3
	for range calls {
		if err := client.Call(call("1")); err != nil {
			t.Fatal(err)
		}
	}
	for _, backend := range []*Backend{first, middle, last} {
		if backend.Calls() != calls {
			t.Errorf("%d calls arrived", backend.Calls())
		}
	}
	if client.OpenedConnections() != 1 {
		t.Errorf("%d connections for consecutive calls", client.OpenedConnections())
	}
	last.Close()
	if err := client.Call(call("1")); err != (StatusError{http.StatusInternalServerError}) {
		t.Errorf("call without the last tier: %v", err)
	}
	if err := client.Call(call("")); err != (StatusError{http.StatusNotFound}) {
		t.Errorf("call without an ID: %v", err)
	}
}

func TestClientReopensClosedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var served sync.WaitGroup
	defer served.Wait()
	served.Go(func() { // each connection is closed after its first response
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			conn.Close()
		}
	})
	client := NewClient(listener.Addr().String())
	defer client.Close()
	const calls = 3
	for range calls {
		if err := client.Call(call("1")); err != nil {
			t.Fatal(err)
		}
	}
	if client.OpenedConnections() != calls {
		t.Errorf("%d connections for %d calls", client.OpenedConnections(), calls)
	}
	listener.Close()
	if err := client.Call(call("1")); err == nil {
		t.Error("no error without a listener")
	}
}

func TestClientCallToSilentServerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := NewClient(listener.Addr().String())
	defer client.Close()
	c := call("1")
	c.TimeoutMs = 1
	if err := client.Call(c); !errors.Is(err, errTimeout) {
		t.Errorf("got error %v, want errTimeout", err)
	}
}

// No call ends before the last one has started, so the test would hang if OpenLoop waited for earlier calls before it
// started the next.
func TestOpenLoopDoesNotWaitForResponses(t *testing.T) {
	const rate, length = 2000, 50 * time.Millisecond
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
	want := 0
	for at, random := 0.0, newRandom(); ; want++ {
		if at += random.ExpFloat64() / rate; at >= length.Seconds() {
			break
		}
	}
	var started atomic.Int64
	all := make(chan struct{})
	var mu sync.Mutex
	intended := map[int]time.Time{}
	calls, err := OpenLoop(t.Context(), rate, length, newRandom(), func(number int, at time.Time) {
		mu.Lock()
		intended[number] = at
		mu.Unlock()
		if started.Add(1) == int64(want) {
			close(all)
		}
		<-all
	})
	if err != nil || calls != want || len(intended) != want {
		t.Errorf("%d calls, %d of them with distinct numbers, want %d; %v", calls, len(intended), want, err)
	}
	for i := 1; i < want; i++ {
		if !intended[i].After(intended[i-1]) {
			t.Errorf("call %d is intended for %v, the previous call for %v", i, intended[i], intended[i-1])
		}
	}
}

func TestOpenLoopEndsWithContext(t *testing.T) {
	stop := errors.New("stopped by the test")
	ctx, cancel := context.WithCancelCause(t.Context())
	calls, err := OpenLoop(ctx, 1000, time.Hour, rand.New(rand.NewPCG(1, 1)), func(number int, _ time.Time) {
		if number == 3 {
			cancel(stop)
		}
	})
	if !errors.Is(err, stop) || calls < 4 {
		t.Errorf("%d calls, %v", calls, err)
	}
}

func TestOpenCallsAreLimited(t *testing.T) {
	calls := newOpenCalls()
	release := make(chan struct{})
	for range maxOpenCalls {
		if err := calls.start(func() { <-release }); err != nil {
			t.Fatal(err)
		}
	}
	if err := calls.start(func() {}); !errors.Is(err, errTooManyOpen) {
		t.Errorf("one call over the limit: %v", err)
	}
	close(release)
	calls.running.Wait()
	if err := calls.start(func() {}); err != nil {
		t.Errorf("after the other calls have ended: %v", err)
	}
}
