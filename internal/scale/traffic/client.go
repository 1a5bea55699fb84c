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

// Call is a request. Its class must be idempotent, as Client.Call may send the request twice.
type Call struct {
	ID, Class, Tenant string
	TimeoutMs         int // until the client gives up
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e StatusError) Error() string { return "response status " + strconv.Itoa(e.Status) }

// Client makes calls to one address. It reuses the most recently used idle connection, and opens another when all are
// busy, as the clients of a proxy do. It is safe for concurrent use.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*connection // the most recently used is the last
	opened  int
	closed  bool
}

// connection is a network connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	buffer []byte
	used   bool // a complete response has been read from it
}

// NewClient returns a client that makes calls to an address, host:port.
func NewClient(address string) *Client { return &Client{address: address} }

// Call makes one call and waits for the complete response. It returns a StatusError for a status other than 200. If a
// reused connection fails before the timeout, usually because the server has closed it, the call is repeated once on a
// new connection.
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

// OpenedConnections returns the number of connections opened so far.
func (c *Client) OpenedConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the idle connections. The others are closed when their calls end.
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

var errTimeout = errors.New("no complete response before the timeout")

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
	if response.Close { // the next call fails on this connection and opens a new one
		c.Conn.Close()
	}
	return response.StatusCode, nil
}

// asTimeout returns errTimeout for a timeout error, and any other error unchanged.
func asTimeout(err error) error {
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return errTimeout
	}
	return err
}
