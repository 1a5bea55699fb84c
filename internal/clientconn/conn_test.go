package clientconn

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/socket"
)

// Guards against a client that is blamed for a delay of this process: it sent its bytes in time, but they are read after
// the deadline.
func TestReadReturnsBytesThatArrivedBeforeDeadline(t *testing.T) {
	pair := connect(t, listen(t, Options{MaxConnections: 1}))
	b := make([]byte, 10)
	if err := pair.server.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := pair.server.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("before any bytes have arrived: got %v", err)
	}
	if _, err := pair.client.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	backendtest.WaitUntil(t, func() bool { return !socket.IsQuiet(pair.server) })
	if n, err := pair.server.Read(b); err != nil || string(b[:n]) != "abc" {
		t.Errorf("got %q, %v", b[:n], err)
	}
	if !pair.server.(*Conn).RequestStarted() {
		t.Error("the bytes were not recorded")
	}
}

// Guards against a head that net/http has in its buffer before it could be recorded, because it arrived together with the
// request before it.
func TestReadStopsAtEndOfHead(t *testing.T) {
	const head, body = "POST / HTTP/1.1\r\nHost: h\r\n\r\n", 6000 // bytes of the body
	pair := connect(t, listen(t, Options{MaxConnections: 1}))
	if _, err := pair.client.Write([]byte(head + strings.Repeat("x", body))); err != nil {
		t.Fatal(err)
	}
	server := pair.server.(*Conn)
	read := func(size int) string {
		t.Helper()
		b := make([]byte, size)
		n, err := server.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	if got := read(httpBufferSize); got != head {
		t.Errorf("first got %q, want the head alone", got)
	}
	if server.isQuiet() {
		t.Error("with a part of the body kept, the connection counts as quiet")
	}
	received := 0
	for received < 2*maxBodyPiece {
		got := read(httpBufferSize)
		if len(got) > maxBodyPiece {
			t.Fatalf("got %d bytes for net/http's buffer, want at most %d", len(got), maxBodyPiece)
		}
		received += len(got)
	}
	for received < body {
		received += len(read(2 * httpBufferSize))
	}
	if received != body || !server.isQuiet() {
		t.Errorf("got %d bytes of the body, want %d and then nothing", received, body)
	}
}
