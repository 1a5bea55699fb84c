package traffic

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// Call is one call of a class that is safe to repeat.
type Call struct {
	ID, Class, Tenant string
	TimeoutMs         int // how long the client waits
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
}

// Error names the status.
func (e StatusError) Error() string { return "answered with " + strconv.Itoa(e.Status) }

// Client makes calls to one address. It keeps its connections, uses the one that was used last, and opens another when
// every one is busy, as the clients of a proxy do. Any number of goroutines may call at once.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*connection // the most recently used last
	opened  int
	closed  bool
}

// connection is a connection with the reader and the space for its calls.
type connection struct {
	net.Conn
	reader *bufio.Reader
	text   []byte
	used   bool // it has brought an answer before
}

// NewClient returns a client of an address, host:port.
func NewClient(address string) *Client { return &Client{address: address} }

// Call makes one call and waits for the whole answer. An error is an answer other than 200, or none in time. If a kept
// connection turns out to be closed, the call is made once more on a new one.
func (c *Client) Call(call Call) error {
	conn, err := c.take()
	if err != nil {
		return err
	}
	status, err := conn.exchange(c.address, call)
	if err != nil && conn.used && !errors.Is(err, errLate) {
		conn.Close()
		if conn, err = c.open(); err != nil {
			return err
		}
		status, err = conn.exchange(c.address, call)
	}
	if err != nil {
		conn.Close()
		return err
	}
	conn.used = true
	c.give(conn)
	if status != http.StatusOK {
		return StatusError{status}
	}
	return nil
}

// Opened counts the connections that were opened.
func (c *Client) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the connections that stand idle, and the others after their calls.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) take() (*connection, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.open()
}

func (c *Client) open() (*connection, error) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *Client) give(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

var errLate = errors.New("no answer in time")

// exchange sends a call and reads the answer.
func (c *connection) exchange(host string, call Call) (status int, err error) {
	deadline := time.Now().Add(time.Duration(call.TimeoutMs) * time.Millisecond)
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	c.text = fmt.Appendf(c.text[:0], "GET /%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		call.Class, call.ID, host, idHeader, call.ID, classHeader, call.Class, tenantHeader, call.Tenant,
		timeoutHeader, call.TimeoutMs)
	if _, err := c.Write(c.text); err != nil {
		return 0, timely(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, timely(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, timely(err)
	}
	if response.Close { // the next call opens a new one
		c.Conn.Close()
	}
	return response.StatusCode, nil
}

// timely tells a deadline from other errors.
func timely(err error) error {
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return errLate
	}
	return err
}
