// Case 9: a backend stands still for 0.5 s after the first piece of a long answer in chunks. The proxy throws the answer away.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	s "review/standin2"
)

const (
	answerBytes = 200 << 10 // over 64 KiB, so only the first bytes are timed
	pieceBytes  = 8 << 10
	pieceGap    = 10 * time.Millisecond
	pause       = 500 * time.Millisecond // servers stand still for 200 to 500 ms

	requests    = 24
	requestGap  = 150 * time.Millisecond
	clientWait  = 10 * time.Second
	pausesEvery = 4 // with the disruption, one answer in so many: up to 26 % of the servers stand still
)

func main() { s.Main(run) }

func run(c *s.Case) error {
	var served atomic.Int64
	serve := func(conn net.Conn, r *http.Request, _ []byte) bool {
		pauses := c.Trouble && served.Add(1)%pausesEvery == 0
		c.Log("backend: runs %s, pauses %v", r.Header.Get("Request-Id"), pauses)
		return answer(c, conn, r.Header.Get("Request-Id"), pauses)
	}
	p, err := c.StartSmall(serve)
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() { request(c, p.Address) })
		time.Sleep(requestGap)
	}
	clients.Wait()
	return nil
}

// answer writes a long answer in chunks. A backend that pauses stands still after the first piece, and then writes the rest.
func answer(c *s.Case, conn net.Conn, id string, pauses bool) (keep bool) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < answerBytes; sent += pieceBytes {
		if pauses && sent == pieceBytes {
			time.Sleep(pause)
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes)); err != nil {
			c.Log("backend: the proxy has closed the connection of %s: %v", id, err)
			return false
		}
		time.Sleep(pieceGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	c.Log("backend: has written the whole answer of %s: %v", id, err == nil)
	return err == nil
}

// request sends one request, which may never run twice, and checks that its answer is not cut off.
func request(c *s.Case, address string) {
	r := s.NewRequest(s.Ticket, "a voicemail")
	conn, err := s.Dial(address)
	if err != nil {
		c.Log("client: %v", err)
		return
	}
	defer conn.Close()
	a := conn.Do(r, clientWait)
	c.Log("client: %s: %v", r.ID, a)
	ran := a.Status != http.StatusServiceUnavailable // a refusal was never sent: nothing has run
	if ran && (a.Status != http.StatusOK || !a.Whole || len(a.Body) != answerBytes) {
		c.Broken("%s ran, and its answer was cut off while the backend still gave it: %v", r.ID, a)
	}
}
