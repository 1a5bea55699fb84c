package message

import (
	"io"
	"time"
)

const (
	// MaxBuffered is the size in bytes up to which a body is buffered, so that it can be sent again.
	MaxBuffered = 64 << 10

	// MaxBody is the size in bytes up to which a body is forwarded at all.
	MaxBody = 32 << 20

	firstBuffer = 4 << 10 // bytes
)

// ReadBuffered reads a body while it is no longer than MaxBuffered and the reservation can grow, and until a time if
// that is not zero. complete reports whether the body has ended; otherwise its rest is still to be read from r. length
// is the announced length in bytes, -1 if there is none. Memory grows with what arrives: a length alone reserves none.
func ReadBuffered(r io.Reader, length int64, reservation *Reservation, until time.Time) (body []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > MaxBuffered {
		return nil, false, nil
	}
	for {
		if len(body) == cap(body) {
			size := nextSize(cap(body), length)
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

// nextSize is the size of the buffer that follows one of the given size.
func nextSize(size int, length int64) int {
	next := max(firstBuffer, 2*size)
	if length >= 0 {
		next = min(next, int(length))
	}
	return next
}
