// Case 10: a peer sends a request that is framed both by Content-Length and in chunks, after an empty line on a connection
// that has carried a proper request. The proxy serves it.
package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	s "review/standin2"
)

const (
	rounds    = 5
	errorOwed = 3 * time.Second // a bad peer is owed an error or a close within this time
)

func main() { s.Main(run) }

func run(c *s.Case) error {
	serve := func(conn net.Conn, r *http.Request, body []byte) bool {
		c.Log("backend: runs %s %s %s, body %q", r.Method, r.RequestURI, r.Header.Get("Request-Id"), body)
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	}
	p, err := c.StartSmall(serve)
	if err != nil {
		return err
	}
	for range rounds {
		if err := round(c, p.Address); err != nil {
			return err
		}
	}
	return nil
}

// round sends a proper request and then, with the disruption, an improper one on the same connection.
func round(c *s.Case, address string) error {
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
	if !c.Trouble {
		return nil
	}
	bad := s.NewRequest(s.Ticket, "")
	fmt.Fprintf(conn, "\r\n\r\nPOST /ticket HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: ticket\r\n"+
		"Tenant: billing\r\nRequest-Timeout-Ms: 4000\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"2\r\nab\r\n0\r\n\r\n", bad.ID)
	a = conn.ReadAnswer(time.Now(), errorOwed)
	c.Log("bad peer: Content-Length and chunks %s: %v", bad.ID, a)
	if a.Status/100 == 2 {
		c.Broken("%s is framed in two ways and was served as though its request had run: %v", bad.ID, a)
	}
	return nil
}
