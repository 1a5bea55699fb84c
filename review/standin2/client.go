package standin2

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	ID      string
	Class   Class
	Tenant  string
	Timeout time.Duration
	Body    string
	Key     string // idempotency key, for keyed classes
}

// NewID returns a new request id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewRequest returns a request of a class with a new id and the class's whole time.
func NewRequest(class Class, body string) Request {
	r := Request{ID: NewID(), Class: class, Tenant: "billing", Timeout: time.Duration(class.GiveUp) * time.Microsecond, Body: body}
	if class.Repeat == "deduplicated" {
		r.Key = NewID() + NewID()
	}
	return r
}

// Bytes returns the request as it is sent.
func (r Request) Bytes() []byte {
	var b strings.Builder
	method := "POST"
	if r.Class.Repeat == "idempotent" {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: %s\r\n", method,
		r.Class.Name, r.ID, r.Class.Name, r.Tenant)
	fmt.Fprintf(&b, "Request-Timeout-Ms: %d\r\n", r.Timeout.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return []byte(b.String())
}

// Answer is what a client gets for a request.
type Answer struct {
	Status  int           // 0: no head of an answer has come
	Body    []byte        // what has come of the body
	Whole   bool          // the answer is complete
	Ended   bool          // the proxy has ended the connection, or the answer is complete
	Took    time.Duration // from the last byte of the request to the last byte of the answer or the end
	Err     error         // of reading, if the answer is not whole
	KeepsOn bool          // the connection may carry another request
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial opens a connection to a proxy.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

// Do sends a request and reads its answer, for no longer than wait.
func (c *Conn) Do(r Request, wait time.Duration) Answer {
	if _, err := c.Write(r.Bytes()); err != nil {
		return Answer{Err: err, Ended: true}
	}
	return c.ReadAnswer(time.Now(), wait)
}

// ReadAnswer reads an answer to a request whose last byte was sent at a time, for no longer than wait from then.
func (c *Conn) ReadAnswer(sent time.Time, wait time.Duration) (a Answer) {
	_ = c.SetReadDeadline(sent.Add(wait))
	defer func() { a.Took = time.Since(sent) }()
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		a.Err = err
		a.Ended = !isTimeout(err)
		return a
	}
	a.Status = response.StatusCode
	a.Body, err = io.ReadAll(response.Body)
	a.Err, a.Whole = err, err == nil
	a.Ended = a.Whole || !isTimeout(err)
	a.KeepsOn = a.Whole && !response.Close
	return a
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// String describes an answer in the record.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d bytes of body, whole %v, ended %v, after %.3f s, error %v", a.Status, len(a.Body), a.Whole,
		a.Ended, a.Took.Seconds(), a.Err)
}
