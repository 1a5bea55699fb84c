// Case 3: answers without a length that come whole are never passed on. See claim.txt.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	class   = standin.Ticket
	timeout = 4 * time.Second // of the client
	wait    = 10 * time.Second
	calls   = 20
)

// answerBytes returns the size of the answer to a call: half of the answers are short, half are over 64 KiB.
func answerBytes(call int) int {
	if call%2 == 0 {
		return 2 << 10
	}
	return 128 << 10
}

func main() { standin.Run(check) }

func check(c *standin.Case) (held bool, err error) {
	var cutOff atomic.Int32 // answers that the backend could not give to the end
	backend, err := c.StartBackend("s-1", func(connection net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		var call int
		_, _ = fmt.Sscanf(id, "%016x", &call)
		if err := giveAnswer(connection, answerBytes(call), !c.Trouble); err != nil {
			cutOff.Add(1)
			c.Note("backend s-1: request %s: cut off: %v", id, err)
			return false
		}
		c.Note("backend s-1: request %s: gave the whole answer, closes the connection", id)
		return false
	})
	if err != nil {
		return false, err
	}
	proxy, err := c.StartProxyFor(backend)
	if err != nil {
		return false, err
	}
	ran, forwarded := 0, 0
	for call := range calls {
		id := fmt.Sprintf("%016x", call)
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
		ran += backend.Runs(id)
		if answer.Whole && answer.Status == http.StatusOK && answer.Bytes == int64(answerBytes(call)) {
			forwarded++
		}
		c.Note("client: request %s: %v; runs at the backend: %d", id, answer, backend.Runs(id))
		time.Sleep(200 * time.Millisecond)
	}
	whole := ran - int(cutOff.Load())
	c.Note("%d of %d requests ran; %d answers came whole, %d were cut off; %d were forwarded whole",
		ran, calls, whole, cutOff.Load(), forwarded)
	if ran < calls/2 {
		return false, fmt.Errorf("too few requests ran")
	}
	return 2*forwarded >= whole, nil
}

// giveAnswer writes an answer, with a length or without. The caller ends an answer without a length by closing the
// connection: nothing of the request is unread, so that this is a FIN and no reset.
func giveAnswer(connection net.Conn, bytes int, withLength bool) error {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	if withLength {
		head += fmt.Sprintf("Content-Length: %d\r\n", bytes)
	}
	_, err := connection.Write([]byte(head + "\r\n" + strings.Repeat("x", bytes)))
	return err
}
