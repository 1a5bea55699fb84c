package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"baylock/internal/backendtest"
)

func TestReadArrivedReadsOnlyWhatHasArrived(t *testing.T) {
	const text = "abc"
	send := func(t *testing.T, c net.Conn) {
		t.Helper()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		prepare func(t *testing.T, peer net.Conn)
		want    string
		err     error
	}{
		"nothing": {prepare: func(*testing.T, net.Conn) {}, err: os.ErrDeadlineExceeded},
		"bytes":   {prepare: send, want: text},
		"closed":  {prepare: func(_ *testing.T, peer net.Conn) { peer.Close() }, err: io.EOF},
		"reset": {prepare: func(t *testing.T, peer net.Conn) {
			t.Helper()
			backendtest.ResetOnClose(t, peer)
			peer.Close()
		}, err: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			own, peer := connectPair(t)
			_ = own.SetReadDeadline(time.Unix(1, 0))
			c.prepare(t, peer)
			if c.err != os.ErrDeadlineExceeded { // the order matters, as IsQuiet takes the error of a reset connection
				backendtest.WaitUntil(t, func() bool { return PeerClosed(own) || !IsQuiet(own) })
			}
			b := make([]byte, 10)
			n, err := ReadArrived(own, b)
			if string(b[:n]) != c.want || !errors.Is(err, c.err) {
				t.Errorf("got %q, %v, want %q, %v", b[:n], err, c.want, c.err)
			}
		})
	}
}
