package message

import (
	"io"
	"time"
)

const (
	// MaxBuffered is the maximum size in bytes of a body that is buffered, so that it can be sent again.
	MaxBuffered = 64 << 10

	// MaxBody is the maximum size in bytes of a body that is forwarded at all.
	MaxBody = 32 << 20

	initialBufferSize = 4 << 10 // bytes
)

// ReadBuffered reads a body into memory. It stops early if the body exceeds MaxBuffered, if the reservation cannot
// grow, or after the time until, unless that is zero. complete reports whether the whole body was read; otherwise the
// rest can be read from r. length is the announced length in bytes, or -1 if there is none. The buffer grows with the
// bytes that arrive: an announced length alone does not reserve memory for the whole body.
func ReadBuffered(r io.Reader, length int64, reservation *Reservation, until time.Time) (body []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > MaxBuffered {
		return nil, false, nil
	}
	for {
		if len(body) == cap(body) {
			size := nextBufferSize(cap(body), length)
			if size > MaxBuffered || !reservation.Grow(int64(size-cap(body))) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF && length < 0 || length >= 0 && int64(len(body)) == length {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
		if !until.IsZero() && time.Now().After(until) {
			return body, false, nil
		}
	}
}

// nextBufferSize returns the size to which a full buffer of the given size grows.
func nextBufferSize(size int, length int64) int {
	next := max(initialBufferSize, 2*size)
	if length >= 0 {
		next = min(next, int(length))
	}
	return next
}
