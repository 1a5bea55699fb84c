// Case 10: a peer sends OPTIONS * instead of a proper request, and the proxy serves it with an answer that no backend made.
package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	s "review/standin2"
)

const (
	goodRequests = 10
	errorOwed    = 3 * time.Second // a bad peer is owed an error or a close within this time of connecting
)

func main() { s.Main(run) }

func run(c *s.Case) error {
	serve := func(conn net.Conn, r *http.Request, _ []byte) bool {
		c.Log("backend: runs %s %s %s", r.Method, r.RequestURI, r.Header.Get("Request-Id"))
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	}
	p, err := c.StartSmall(serve)
	if err != nil {
		return err
	}
	for i := range goodRequests {
		if err := good(c, p.Address); err != nil {
			return err
		}
		if c.Trouble && i%2 == 1 {
			bad(c, p.Address)
		}
	}
	return nil
}

// good sends a proper request, which has to be served.
func good(c *s.Case, address string) error {
	conn, err := s.Dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	r := s.NewRequest(s.Ticket, "a voicemail")
	a := conn.Do(r, r.Timeout)
	c.Log("client: %s: %v", r.ID, a)
	if a.Status != http.StatusOK || string(a.Body) != "ok" {
		return fmt.Errorf("a proper request was not served: %v", a)
	}
	return nil
}

// bad sends something that is not a proper request. Any 4xx or 5xx is due, or a close, but it must not be served.
func bad(c *s.Case, address string) {
	conn, err := s.Dial(address)
	if err != nil {
		c.Log("bad peer: %v", err)
		return
	}
	defer conn.Close()
	r := s.NewRequest(s.Ticket, "")
	fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: ticket\r\nTenant: billing\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n", r.ID)
	a := conn.ReadAnswer(time.Now(), errorOwed)
	c.Log("bad peer: OPTIONS * %s: %v", r.ID, a)
	if a.Status/100 == 2 {
		c.Broken("OPTIONS * %s was served, and no backend made the answer: %v", r.ID, a)
	}
}
