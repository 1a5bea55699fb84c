package clientconn

import (
	"errors"
	"os"
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
