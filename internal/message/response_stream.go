package message

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// ResponseStream is a backend's response that is forwarded as it arrives. The client's side calls Deliver and then
// sends one value on Done.
type ResponseStream struct {
	Prefix      []byte    // the part of the body that has already been read
	Body        io.Reader // the rest of the body
	Length      int64     // announced length of the whole body in bytes; -1 if none
	ContentType string
	Abort       func()     // makes all reads from the backend fail
	Done        chan error // gets the result of the delivery; has a buffer for one value
}

// Deliver writes the response to a client and flushes each piece as it arrives. Each write blocks for as long as the
// client's connection allows. The error of a read or write says which side failed. After any error the response is
// incomplete, and the client's connection must be closed.
func (s *ResponseStream) Deliver(ctx context.Context, w http.ResponseWriter) (err error) {
	// Once the client has disconnected, reading the rest of the response is pointless.
	stopAbort := context.AfterFunc(ctx, s.Abort)
	defer func() {
		if !stopAbort() && err == nil {
			err = ctx.Err()
		}
	}()
	// The head is sent at once, even if no byte of the body has arrived yet: a client whose connection closes before
	// any byte of a response assumes that its request was not read, and sends it again.
	w.WriteHeader(http.StatusOK)
	if err := writePiece(w, s.Prefix); err != nil {
		return err
	}
	delivered := int64(len(s.Prefix))
	s.Prefix = nil // it is not held while the rest arrives
	buf := deliveryBuffers.Get().(*[deliveryBufferSize]byte)
	defer deliveryBuffers.Put(buf)
	for {
		n, err := s.Body.Read(buf[:])
		if delivered += int64(n); delivered > MaxBody {
			return ErrTooLong
		}
		if n > 0 {
			if err := writePiece(w, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && (s.Length < 0 || delivered == s.Length) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("backend: %w", err)
		}
	}
}

// writePiece writes and flushes one piece of a body.
func writePiece(w http.ResponseWriter, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	return nil
}
