// Case 3: a long answer is thrown away because its backend stood still for 500 ms near its beginning. See claim.txt.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"review/standin"
)

const (
	pieces     = 32
	pieceBytes = 8 << 10                // 256 KiB in all
	pieceWork  = 100 * time.Millisecond // what the backend works for each piece
	standstill = 500 * time.Millisecond // with the disruption, once, while it works for the third piece

	class   = standin.Ticket
	timeout = 4 * time.Second // of the client, for the first bytes
	wait    = 20 * time.Second
	calls   = 5
	apart   = 4 * time.Second // from one call to the next at the least, so that a standstill comes every few seconds
)

func main() { standin.Run(check) }

func check(c *standin.Case) (held bool, err error) {
	backend, err := c.StartBackend("s-1", func(connection net.Conn, r *http.Request) bool {
		given, err := giveAnswer(connection, c.Trouble)
		if err != nil {
			c.Note("backend s-1: request %s: cut off after %d of %d pieces: %v", r.Header.Get("Request-Id"), given, pieces, err)
			return false
		}
		return true
	})
	if err != nil {
		return false, err
	}
	proxy, err := c.StartProxyFor(backend)
	if err != nil {
		return false, err
	}
	lost := 0
	for i := range calls {
		next := time.Now().Add(apart)
		id := fmt.Sprintf("%016x", i+1)
		client, err := standin.Connect(proxy.Address)
		if err != nil {
			return false, err
		}
		c.Note("client: sends request %s", id)
		if err := client.Send(class, id, timeout); err != nil {
			return false, err
		}
		answer := client.Receive(wait, 0)
		client.Close()
		runs := backend.Runs(id)
		c.Note("client: request %s: %v; runs at the backend: %d", id, answer, runs)
		if runs > 0 && (answer.Status != http.StatusOK || !answer.Whole) {
			lost++
		}
		time.Sleep(time.Until(next))
	}
	c.Note("%d of %d requests ran, and did not get the answer that the backend was giving", lost, calls)
	return lost == 0, nil
}

// giveAnswer writes the answer in chunks, each as soon as the backend has worked for it.
func giveAnswer(connection net.Conn, stand bool) (given int, err error) {
	if _, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return 0, err
	}
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes)))
	for given < pieces {
		time.Sleep(pieceWork)
		if stand && given == 2 {
			time.Sleep(standstill)
		}
		if _, err := connection.Write(chunk); err != nil {
			return given, err
		}
		given++
	}
	_, err = connection.Write([]byte("0\r\n\r\n"))
	return given, err
}
