package message

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// pacedBody is a body that arrives in pieces of one byte. Each arrives a time after the read for it has begun.
type pacedBody struct{ delay time.Duration }

func (b *pacedBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	p[0] = 'x'
	return 1, nil
}

// deadlineRecorder is a response writer that records the last read deadline.
type deadlineRecorder struct {
	http.ResponseWriter
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadline = deadline
	return nil
}

// Guards against a client that is blamed for a time in which the proxy did not read, because it was busy or the backend
// was slow. The time for which the proxy waits for the client counts.
func TestRequestStreamCountsOnlyTimeSpentReading(t *testing.T) {
	const (
		reads = 4
		pause = 3 * time.Second // between two reads
		delay = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		writer := &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}
		stream := NewRequestStream(&pacedBody{delay}, -1, http.NewResponseController(writer), time.Now())
		buffer := make([]byte, 1)
		for i := range reads {
			if i > 0 {
				time.Sleep(pause)
			}
			begin := time.Now()
			if _, err := io.ReadFull(stream, buffer); err != nil {
				t.Fatal(err)
			}
			want := FirstBytesTimeout - time.Duration(i)*delay + time.Duration(i)*time.Second/minBodyRate
			if got := writer.deadline.Sub(begin); got != want {
				t.Errorf("read %d may take %v, want %v", i, got, want)
			}
		}
	})
}

// Guards against a client that sends much of a body fast, then stops and holds a connection to a backend for as long as the
// minimum rate allows for the bytes that it has sent.
func TestRequestStreamLimitsStallOfFastClient(t *testing.T) {
	const sent = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		writer := &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}
		body := io.MultiReader(bytes.NewReader(make([]byte, sent)), &pacedBody{})
		stream := NewRequestStream(body, -1, http.NewResponseController(writer), time.Now())
		if _, err := io.ReadFull(stream, make([]byte, sent+1)); err != nil {
			t.Fatal(err)
		}
		if got := time.Until(writer.deadline); got != clientStallTimeout {
			t.Errorf("after %d bytes, the next may take %v, want %v", sent, got, clientStallTimeout)
		}
	})
}
