package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/socket"
)

// Guards against an endpoint that is blamed for a delay of this process: it sent its bytes in time, but they are read after
// the stall timeout. After the deadline of all reads, or once the attempt is aborted, no bytes are read.
func TestConnReadsBytesThatArrivedWithinStallTimeout(t *testing.T) {
	const text = "abc"
	for name, c := range map[string]struct {
		deadline time.Time
		abort    bool
		want     error
	}{
		"stalled only": {},
		"in time":      {deadline: time.Now().Add(time.Hour)},
		"deadline":     {deadline: time.Unix(1, 0), want: os.ErrDeadlineExceeded},
		"aborted":      {abort: true, want: os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Respond(text, true))
			inner, err := net.Dial("tcp", b.Address)
			if err != nil {
				t.Fatal(err)
			}
			defer inner.Close()
			if _, err := io.WriteString(inner, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			own := newConn(inner, Target{})
			own.limitReads(readLimits{stallTimeout: time.Nanosecond, deadline: c.deadline})
			if c.abort {
				own.abort()
			}
			backendtest.WaitUntil(t, func() bool { return !socket.IsQuiet(inner) })
			received := make([]byte, 10)
			n, err := own.Read(received)
			if !errors.Is(err, c.want) || c.want == nil && string(received[:n]) != text {
				t.Errorf("got %q, %v, want %v", received[:n], err, c.want)
			}
		})
	}
}
