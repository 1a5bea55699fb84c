package downstream

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"baylock/internal/message"
	"baylock/internal/upstream"
)

// Guards against trailers, of which a request can have thousands, that stay in memory until the request has its response.
func TestReadBodyKeepsNoTrailers(t *testing.T) {
	for name, body := range map[string]string{"buffered": "abc", "streamed": strings.Repeat("x", message.MaxBuffered+1)} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString("POST /post HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: a, b\r\n\r\n")
			chunks := httputil.NewChunkedWriter(&text)
			_, _ = chunks.Write([]byte(body))
			_ = chunks.Close()
			text.WriteString("a: 1\r\nb: 2\r\nc: 3\r\n\r\n")
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text.String())))
			if err != nil {
				t.Fatal(err)
			}
			request := &upstream.Request{}
			if err := readBody(httptest.NewRecorder(), r, request, nil, time.Now()); err != nil {
				t.Fatal(err)
			}
			if request.Stream != nil {
				if len(r.Trailer) > 0 {
					t.Errorf("%d announced trailers are kept", len(r.Trailer))
				}
				if _, err := io.Copy(io.Discard, request.Stream); err != nil {
					t.Fatal(err)
				}
			}
			if len(r.Trailer) > 0 {
				t.Errorf("%d trailers are kept", len(r.Trailer))
			}
		})
	}
}
