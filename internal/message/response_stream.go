package message

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientStall is how long a client may take no bytes: a slow reader lets its window open in large steps.
const clientStall = 10 * time.Second

// ResponseStream is a backend's response that is forwarded as it arrives. The client's side calls Deliver and then
// sends on Done once.
type ResponseStream struct {
	First       []byte    // what has been read of the body already
	Body        io.Reader // the rest of it
	Length      int64     // of the whole body in bytes; -1 if not announced
	ContentType string
	Abort       func()     // ends all reads from the backend
	Done        chan error // receives how delivery went; its buffer holds one
}

// Deliver writes the response to a client as it arrives: no piece waits for the next. The error tells which side
// failed; the response is then incomplete, and the client's connection has to be closed.
func (s *ResponseStream) Deliver(ctx context.Context, w http.ResponseWriter) (err error) {
	// Nobody takes the rest of a response whose client has gone.
	unhook := context.AfterFunc(ctx, s.Abort)
	defer func() {
		if !unhook() && err == nil {
			err = ctx.Err()
		}
	}()
	// The head is sent ahead of the body, also where none of that has arrived: a client whose connection ends without
	// any byte of a response takes its request for unread and sends it again.
	w.WriteHeader(http.StatusOK)
	if err := writePiece(w, s.First); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for delivered := int64(len(s.First)); ; {
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
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(clientStall))
	if _, err := w.Write(piece); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	return nil
}
