// Case 1: a client that reads a long answer slowly, but without a pause, gets only a part of it. See claim.txt.
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
	answerBytes = 24 << 20
	pieceBytes  = 64 << 10
	slowRate    = 64_000 // bytes that the client reads in a second, with the disruption

	class   = standin.Ticket
	id      = "0000000000000001"
	timeout = 4 * time.Second   // of the client, for the first bytes
	wait    = 100 * time.Second // how long the client goes on reading
)

func main() { standin.Run(check) }

func check(c *standin.Case) (held bool, err error) {
	cutOff := make(chan int, 1) // gets the bytes that the backend could give, if it could not give all
	backend, err := c.StartBackend("s-1", func(connection net.Conn, _ *http.Request) bool {
		given, err := giveAnswer(connection)
		if err != nil {
			c.Note("backend s-1: cut off after %d of %d bytes: %v", given, answerBytes, err)
			cutOff <- given
			return false
		}
		c.Note("backend s-1: gave the whole answer")
		return true
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
	rate := int64(0)
	if c.Trouble {
		rate = slowRate
	}
	c.Note("client: sends request %s, reads %d bytes a second (0: as fast as it can)", id, rate)
	if err := client.Send(class, id, timeout); err != nil {
		return false, err
	}
	answer := client.Receive(wait, rate)
	c.Note("client: %v; longest pause between two reads %.3f s", answer, answer.Pause.Seconds())
	select {
	case <-cutOff:
		return false, nil
	default:
	}
	if answer.Status != http.StatusOK { // a refusal or a failure is an answer too
		return answer.Whole, nil
	}
	return answer.Whole || answer.WaitOver(), nil
}

// giveAnswer writes the answer as fast as the proxy takes it.
func giveAnswer(connection net.Conn) (given int, err error) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes)
	if _, err := connection.Write([]byte(head)); err != nil {
		return 0, err
	}
	piece := []byte(strings.Repeat("x", pieceBytes))
	for given < answerBytes {
		n, err := connection.Write(piece)
		given += n
		if err != nil {
			return given, err
		}
	}
	return given, nil
}
