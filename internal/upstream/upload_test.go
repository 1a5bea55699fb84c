package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/message"
	"baylock/internal/socket"
)

// newRequestStream returns a stream for a body that the client has already sent.
func newRequestStream(t *testing.T, body io.Reader, length int64) *message.RequestStream {
	t.Helper()
	return message.NewRequestStream(body, length, http.NewResponseController(httptest.NewRecorder()),
		time.Now().Add(testTimeout))
}

// strayResponses are responses that belong to no request but claim that a request was rejected.
var strayResponses = map[string]string{
	"503":             "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
	"504":             "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
	"incomplete head": "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX-Rest: ",
}

// The attempt stops writing a retry before its last byte, so that the endpoint cannot run it. On a busy machine the
// deadline may pass before the attempt has begun to write. It then sends nothing, and the test allows it more time.
func TestAttemptStopsWritingRetryAtDedupDeadline(t *testing.T) {
	for name, streamed := range map[string]bool{"buffered": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			status, complete := balancer.NotAttempted, false
			for window := 500 * time.Millisecond; status == balancer.NotAttempted && window < testTimeout; window *= 2 {
				status, complete = writeRetryToBlockedEndpoint(t, streamed, window)
			}
			if status != balancer.ConnectFailed {
				t.Errorf("got status %v", status)
			}
			if complete {
				t.Error("all of the request was written")
			}
		})
	}
}

// writeRetryToBlockedEndpoint makes an attempt with a dedup deadline after the given time, to an endpoint that reads
// nothing until the deadline has passed. It returns the status, and whether all of the request arrived.
func writeRetryToBlockedEndpoint(t *testing.T, streamed bool, window time.Duration) (status balancer.Status, complete bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newTestPool(4, l.Addr().String())
	a := newTestAttempt(t, p, "a", testTimeout)
	a.Request.Method = http.MethodPost
	a.Observer = uploadObserver(func(time.Time) time.Time { return time.Now().Add(testTimeout) })
	if body := bytes.Repeat([]byte("0123456789abcde\n"), 1<<19); streamed {
		a.Request.Stream = newRequestStream(t, bytes.NewReader(body), int64(len(body)))
	} else {
		a.Request.Body = body
	}
	a.DedupDeadline = time.Now().Add(window)
	received := make(chan int, 1)
	go func(deadline time.Time) {
		c, err := l.Accept()
		if err != nil {
			received <- 0 // the attempt has not connected
			return
		}
		defer c.Close()
		time.Sleep(time.Until(deadline.Add(50 * time.Millisecond)))
		got, _ := io.ReadAll(c)
		received <- len(got)
	}(a.DedupDeadline)
	status = a.run().Status
	p.Close() // an attempt that has not written leaves its connection in the pool
	if status == balancer.NotAttempted {
		l.Close() // ends Accept if the attempt has not connected
	}
	return status, backendtest.Receive(t, "end of the request", received) > 8<<20 // head included
}

// A stray response arrives after an attempt has taken the connection and before it writes its request. If it were read
// as the response, the request would be reported as rejected although the endpoint runs it.
func TestAttemptSkipsConnectionWithStrayResponse(t *testing.T) {
	for name, stray := range strayResponses {
		for kind, streamed := range map[string]bool{"buffered": false, "streamed": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				backendConns, ownConns := make(chan io.Writer, 2), make(chan net.Conn, 2)
				b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
					backendConns <- w
					_, _ = io.WriteString(w, backendtest.OK)
					return true
				})
				p := newTestPool(4, b.Address)
				dial := p.DialContext
				p.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					ownConns <- c
					return c, err
				}
				if result := newTestAttempt(t, p, "a", testTimeout).run(); result.Status != balancer.OK {
					t.Fatalf("got status %v", result.Status)
				}
				makeIdleReusable(p)
				a := newTestAttempt(t, p, "a", testTimeout)
				checks := 0
				if streamed {
					a.Request.Method = http.MethodPost
					a.Request.Stream = newRequestStream(t, strings.NewReader(strings.Repeat("x", 100_000)), 100_000)
					a.Observer = uploadObserver(func(time.Time) time.Time { return a.Deadline })
				}
				a.Request.ClientGone = func() bool { // called before taking a connection and before the first byte
					if checks++; checks == 2 {
						_, _ = io.WriteString(<-backendConns, stray)
						c := <-ownConns
						backendtest.WaitUntil(t, func() bool { return !socket.IsQuiet(c) })
					}
					return false
				}
				if result := a.run(); result.Status != balancer.OK || b.Requests.Load() != 2 || b.Connections.Load() != 2 {
					t.Errorf("got %v; %d requests on %d connections", result.Status, b.Requests.Load(), b.Connections.Load())
				}
			})
		}
	}
}

// The backend responds before it has received the complete request. The attempt then stops writing, so that the request
// cannot run, although the client has sent all of it.
func TestUploadStopsAtEarlyResponse(t *testing.T) {
	for name, response := range strayResponses {
		t.Run(name, func(t *testing.T) {
			respond, complete := make(chan struct{}), make(chan bool, 1)
			b := backendtest.StartRaw(t, func(w io.Writer, r *http.Request) bool {
				<-respond
				_, _ = io.WriteString(w, response)
				body, err := io.ReadAll(r.Body)
				complete <- err == nil && len(body) == 20_000
				return false
			})
			p := newTestPool(4, b.Address)
			a := newTestAttempt(t, p, "a", testTimeout)
			a.Request.Method = http.MethodPost
			a.Request.Stream = newRequestStream(t, strings.NewReader(strings.Repeat("x", 20_000)), 20_000)
			a.Observer = uploadObserver(func(time.Time) time.Time { return time.Now().Add(testTimeout) })
			a.Request.Stream.SetEndHook(func() { // the body is read completely, but its last piece is not yet written
				close(respond)
				backendtest.WaitUntil(t, a.earlyResponse.Load)
			})
			result := a.run()
			if result.Status != balancer.Rejected && result.Status != balancer.ConnectFailed {
				t.Errorf("got status %v", result.Status)
			}
			if backendtest.Receive(t, "end of the request", complete) {
				t.Error("the whole request was written")
			}
		})
	}
}

// errorAtEndReader returns the given number of bytes and then fails, instead of returning io.EOF, when net/http checks
// for bytes beyond the announced length.
type errorAtEndReader struct{ remaining int }

func (r *errorAtEndReader) Read(b []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(r.remaining, len(b))
	r.remaining -= n
	return n, nil
}

// The last byte may have been written before the body fails, so the endpoint may run the request.
func TestUploadReportsResetWhenBodyFailsAfterLastByte(t *testing.T) {
	complete := make(chan bool, 1)
	b := backendtest.StartRaw(t, func(_ io.Writer, r *http.Request) bool {
		_, err := io.ReadAll(r.Body)
		complete <- err == nil
		return false
	})
	p := newTestPool(4, b.Address)
	a := newTestAttempt(t, p, "a", testTimeout)
	const length = 25 * 4096 // fills net/http's buffer, so that the last byte is written before the error
	a.Request.Method = http.MethodPost
	a.Request.Stream = newRequestStream(t, &errorAtEndReader{length}, length)
	if result := a.run(); result.Status != balancer.Reset {
		t.Errorf("got status %v", result.Status)
	}
	if !backendtest.Receive(t, "end of the request", complete) {
		t.Error("the body was not written completely")
	}
}

// Guards against an upload that is cut off although its endpoint reads all the time, only more slowly than the kernel frees
// a third of the send buffer.
func TestUploadFinishesAtSlowEndpoint(t *testing.T) {
	t.Parallel()
	const bytesPerSecond, slowTime = 64_000, message.WriteStallTimeout * 3 / 2
	body := bytes.Repeat([]byte("0123456789abcde\n"), 1<<20)
	received := make(chan []byte, 1)
	b := backendtest.StartRaw(t, func(w io.Writer, r *http.Request) bool {
		got, err := backendtest.ReadSlowly(r.Body, bytesPerSecond, slowTime)
		received <- got
		if err == nil {
			_, _ = io.WriteString(w, backendtest.OK)
		}
		return false
	})
	a := newTestAttempt(t, newTestPool(4, b.Address), "a", time.Minute)
	a.Request.Method = http.MethodPost
	a.Request.Stream = newRequestStream(t, bytes.NewReader(body), int64(len(body)))
	a.Observer = uploadObserver(func(time.Time) time.Time { return time.Now().Add(testTimeout) })
	if result := a.run(); result.Status != balancer.OK {
		t.Errorf("got status %v", result.Status)
	}
	if got := backendtest.Receive(t, "end of the upload", received); !bytes.Equal(got, body) {
		t.Errorf("received %d of %d bytes", len(got), len(body))
	}
}
