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

// Call is one call of an idempotent class.
type Call struct {
	ID, Class, Tenant string
	TimeoutMs         int // until the client gives up
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
}

// Error gives the status.
func (e StatusError) Error() string { return "answered with " + strconv.Itoa(e.Status) }

// Client makes calls to one address. It reuses the connection that was used last, and opens another when all are
// busy, as the clients of a proxy do. Any number of goroutines may use it at once.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*connection // the most recently used last
	opened  int
	closed  bool
}

// connection is a connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	buffer []byte
	used   bool // it has had a response
}

// NewClient returns a client of an address, host:port.
func NewClient(address string) *Client { return &Client{address: address} }

// Call makes one call and waits for the complete response. Its error is a StatusError for a status other than 200. If a
// reused connection turns out to be closed, the call is made once more on a new one.
func (c *Client) Call(call Call) error {
	conn, err := c.acquire()
	if err != nil {
		return err
	}
	status, err := conn.exchange(c.address, call)
	if err != nil && conn.used && !errors.Is(err, errTimeout) {
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
	c.release(conn)
	if status != http.StatusOK {
		return StatusError{status}
	}
	return nil
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the idle connections, and the others after their calls.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) acquire() (*connection, error) {
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

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

var errTimeout = errors.New("no answer in time")

// exchange sends a request and reads the response.
func (c *connection) exchange(host string, call Call) (status int, err error) {
	deadline := time.Now().Add(time.Duration(call.TimeoutMs) * time.Millisecond)
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	c.buffer = fmt.Appendf(c.buffer[:0], "GET /%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		call.Class, call.ID, host, idHeader, call.ID, classHeader, call.Class, tenantHeader, call.Tenant,
		timeoutHeader, call.TimeoutMs)
	if _, err := c.Write(c.buffer); err != nil {
		return 0, asTimeout(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, asTimeout(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, asTimeout(err)
	}
	if response.Close { // the next call opens a new connection
		c.Conn.Close()
	}
	return response.StatusCode, nil
}

// asTimeout maps a deadline error to errTimeout.
func asTimeout(err error) error {
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return errTimeout
	}
	return err
}
