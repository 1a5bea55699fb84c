// Case 2: a request that arrives 1 s after SIGTERM gets a long answer that SIGKILL cuts off. See claim.txt.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"review/standin"
)

const (
	answerBytes   = 1 << 20
	pieceBytes    = 8 << 10
	pieceInterval = 100 * time.Millisecond // 82 kB a second

	class   = standin.Ticket
	timeout = 4 * time.Second // of the client, for the first bytes

	sendAfter = 1 * time.Second         // from SIGTERM to the request; over 0.7 s
	killAfter = 3800 * time.Millisecond // from SIGTERM to SIGKILL; 3.7 s at the least, as the longest deadline is over 3 s
	wait      = 30 * time.Second        // how long the client goes on reading
)

func main() { standin.Run(check) }

func check(c *standin.Case) (held bool, err error) {
	backend, err := c.StartBackend("s-1", func(connection net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "0000000000000001" {
			_, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			return err == nil
		}
		return giveLongAnswer(connection) == nil
	})
	if err != nil {
		return false, err
	}
	proxy, err := c.StartProxyFor(backend)
	if err != nil {
		return false, err
	}
	client, err := standin.Connect(proxy.Address)
	if err != nil {
		return false, err
	}
	c.Note("client: sends request 0000000000000001")
	if err := client.Send(class, "0000000000000001", timeout); err != nil {
		return false, err
	}
	first := client.Receive(5*time.Second, 0)
	c.Note("client: %v", first)
	if !first.Whole || first.Status != http.StatusOK {
		return false, fmt.Errorf("no service before the disruption")
	}
	if c.Trouble {
		proxy.Signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, proxy.Kill)
	}
	time.Sleep(sendAfter)
	if client.Closed() {
		c.Note("client: its connection was closed before the request")
		return true, nil
	}
	const id = "0000000000000002"
	c.Note("client: sends request %s on the connection that is still open", id)
	if err := client.Send(class, id, timeout); err != nil {
		c.Note("client: the close of the connection crossed the request: %v", err)
		return true, nil
	}
	answer := client.Receive(wait, 0)
	c.Note("client: %v; runs at the backend: %d", answer, backend.Runs(id))
	unread := answer.Status == 0 && backend.Runs(id) == 0 // the close of the connection crossed the request
	return answer.Whole || unread, nil
}

func giveLongAnswer(connection net.Conn) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes)
	if _, err := connection.Write([]byte(head)); err != nil {
		return err
	}
	piece := []byte(strings.Repeat("x", pieceBytes))
	for range answerBytes / pieceBytes {
		if _, err := connection.Write(piece); err != nil {
			return err
		}
		time.Sleep(pieceInterval)
	}
	return nil
}
