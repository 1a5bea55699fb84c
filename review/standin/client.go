package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Client is a connection of a client to a proxy.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Answer is what a client has got for a request.
type Answer struct {
	Status int   // 0 if none has begun
	Length int64 // announced length of the body, or -1
	Bytes  int64 // of the body that were read
	Whole  bool  // the answer is whole
	Err    error // why it is not: closed or reset by the proxy, or the client's wait is over
	Took   time.Duration
	Pause  time.Duration // the longest between two reads of the body, while bytes were there to read
}

func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d of %d bytes, whole %v, after %.3f s, error %v",
		a.Status, a.Bytes, a.Length, a.Whole, a.Took.Seconds(), a.Err)
}

// WaitOver reports whether the client stopped waiting while the connection was still open.
func (a Answer) WaitOver() bool { return errors.Is(a.Err, os.ErrDeadlineExceeded) }

// Connect opens a connection to a proxy.
func Connect(address string) (*Client, error) {
	connection, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{connection, bufio.NewReader(connection)}, nil
}

// Send writes a request of a class without keys. It has no body.
func (c *Client) Send(class, id string, timeout time.Duration) error {
	_, err := fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: water-supply\r\nRequest-Timeout-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		class, id, class, timeout.Milliseconds())
	return err
}

// Receive reads the answer to the request that was sent last, for the given time at most. rate, unless it is 0, limits
// how many bytes of the body the client reads in a second.
func (c *Client) Receive(wait time.Duration, rate int64) Answer {
	begin := time.Now()
	_ = c.SetReadDeadline(begin.Add(wait))
	a := Answer{Length: -1}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.Err, a.Took = err, time.Since(begin)
		return a
	}
	a.Status, a.Length = response.StatusCode, response.ContentLength
	buffer := make([]byte, 8<<10)
	start := time.Now()
	for ended := start; ; {
		a.Pause = max(a.Pause, time.Since(ended))
		n, err := response.Body.Read(buffer)
		ended = time.Now()
		a.Bytes += int64(n)
		if err == io.EOF {
			a.Whole = true
			break
		}
		if err != nil {
			a.Err = err
			break
		}
		if rate > 0 {
			time.Sleep(time.Duration(a.Bytes)*time.Second/time.Duration(rate) - time.Since(start))
		}
	}
	a.Took = time.Since(begin)
	return a
}

// Closed reports whether the proxy has closed the connection, on which no answer is due.
func (c *Client) Closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
