package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
)

const (
	// uploadPieceSize is how many bytes of a body are written at a time. A blocked upload holds so much memory.
	uploadPieceSize = 8 << 10

	chunkSizeDigits = 4 // hexadecimal digits of the size of a chunk, which is at most uploadPieceSize
	chunkHeadSize   = chunkSizeDigits + len(lineEnd)
	lineEnd         = "\r\n"
	lastChunk       = "0\r\n\r\n"
)

// uploadBuffer has room for a piece of a body as a chunk.
type uploadBuffer [chunkHeadSize + uploadPieceSize + len(lineEnd)]byte

var uploadBuffers = sync.Pool{New: func() any { return new(uploadBuffer) }}

// errBodyTooLong reports a body that goes on after its announced length.
var errBodyTooLong = errors.New("the body is longer than announced")

// errHeadEncoded makes the encoding of a request stop after its head.
var errHeadEncoded = errors.New("the head is encoded")

// headOnly is a body that makes the encoding of a request stop after its head.
type headOnly struct{ encoded bool }

func (h *headOnly) Read([]byte) (int, error) {
	h.encoded = true
	return 0, errHeadEncoded
}

// encodeHead returns the head of a streamed request.
func (a *Attempt) encodeHead() ([]byte, error) {
	var head bytes.Buffer
	var body headOnly
	if err := a.httpRequest(&body).Write(&head); !body.encoded { // net/http wraps errHeadEncoded in an opaque error
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return head.Bytes(), nil
}

// writeStreamed writes a streamed request: its head, the buffered part of its body and then the rest as it arrives.
func (a *Attempt) writeStreamed(w io.Writer) error {
	head, err := a.encodeHead()
	if err != nil {
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	buffer := uploadBuffers.Get().(*uploadBuffer)
	defer uploadBuffers.Put(buffer)
	body := io.MultiReader(bytes.NewReader(a.Request.Body), a.Request.Stream)
	length := a.Request.Stream.Length()
	chunked := length < 0
	for received := int64(0); ; {
		n, readErr := body.Read(buffer[chunkHeadSize : chunkHeadSize+uploadPieceSize])
		if received += int64(n); received == length && readErr == nil {
			readErr = readEnd(body) // before the last piece is written, so that a response to it is not an early one
		}
		if n > 0 {
			if _, err := w.Write(buffer.frame(n, chunked)); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return readErr
		}
	}
	if chunked {
		_, err = io.WriteString(w, lastChunk)
	}
	return err
}

// readEnd reads the end of a body of which all announced bytes have been read. It returns io.EOF, or another error.
func readEnd(body io.Reader) error {
	var extra [1]byte
	if n, err := body.Read(extra[:]); n == 0 && err != nil {
		return err
	}
	return errBodyTooLong
}

// frame returns a piece of n bytes, as a chunk if chunked is set. The piece begins at chunkHeadSize.
func (b *uploadBuffer) frame(n int, chunked bool) []byte {
	piece := b[chunkHeadSize : chunkHeadSize+n]
	if !chunked {
		return piece
	}
	size := strconv.AppendUint(make([]byte, 0, chunkSizeDigits), uint64(n), 16)
	start := chunkSizeDigits - len(size)
	copy(b[start:], size)
	copy(b[chunkSizeDigits:], lineEnd)
	copy(b[chunkHeadSize+n:], lineEnd)
	return b[start : chunkHeadSize+n+len(lineEnd)]
}
