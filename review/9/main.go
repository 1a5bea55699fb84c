// Case 9: a backend hangs for 6 s in the middle of a long answer and then goes on. The proxy cuts the answer off.
package main

import (
	"fmt"
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
	pieceGap    = 20 * time.Millisecond // 400 kB a second
	hang        = 6 * time.Second       // servers hang for 5.9 to 25 s

	requests   = 24
	requestGap = 100 * time.Millisecond
	clientWait = 30 * time.Second
	hangsEvery = 9 // with the disruption, one answer in so many: up to 12 % of the servers hang
)

func main() { s.Main(run) }

func run(c *s.Case) error {
	var served atomic.Int64
	serve := func(conn net.Conn, r *http.Request, _ []byte) bool {
		hangs := c.Trouble && served.Add(1)%hangsEvery == 0
		c.Log("backend: runs %s, hangs %v", r.Header.Get("Request-Id"), hangs)
		return answer(c, conn, r.Header.Get("Request-Id"), hangs)
	}
	p, err := c.StartSmall(serve)
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i := range requests {
		class := s.Ticket
		if i%3 == 2 {
			class = s.Meter
		}
		clients.Go(func() { request(c, p.Address, class) })
		time.Sleep(requestGap)
	}
	clients.Wait()
	return nil
}

// answer writes a long answer. A backend that hangs stands still in the middle of it, and then writes the rest.
func answer(c *s.Case, conn net.Conn, id string, hangs bool) (keep bool) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes)
	for sent := 0; sent < answerBytes; sent += pieceBytes {
		if hangs && sent == answerBytes/2/pieceBytes*pieceBytes {
			time.Sleep(hang)
			c.Log("backend: goes on with %s", id)
		}
		if _, err := conn.Write([]byte(strings.Repeat("x", pieceBytes))); err != nil {
			c.Log("backend: the proxy has closed the connection of %s: %v", id, err)
			return false
		}
		time.Sleep(pieceGap)
	}
	return true
}

// request sends one request and checks that an answer that has begun comes whole.
func request(c *s.Case, address string, class s.Class) {
	r := s.NewRequest(class, "a voicemail")
	conn, err := s.Dial(address)
	if err != nil {
		c.Log("client: %v", err)
		return
	}
	defer conn.Close()
	a := conn.Do(r, clientWait)
	c.Log("client: %s %s: %v", class.Name, r.ID, a)
	if a.Status == http.StatusOK && !a.Whole {
		c.Broken("%s %s was cut off while its backend still gave the answer: %v", class.Name, r.ID, a)
	}
}
