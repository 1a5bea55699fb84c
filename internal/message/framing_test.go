package message

import "testing"

func TestHasConflictingFraming(t *testing.T) {
	const start = "POST / HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		head string
		want bool
	}{
		"no body":              {"GET / HTTP/1.1\r\nHost: h", false},
		"length":               {start + "Content-Length: 3", false},
		"chunked":              {start + "Transfer-Encoding: chunked", false},
		"both":                 {start + "Content-Length: 3\r\nTransfer-Encoding: chunked", true},
		"both in other case":   {start + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 3", true},
		"both with line feeds": {"POST / HTTP/1.1\nContent-Length: 3\nTransfer-Encoding: chunked", true},
		"both, odd spaces":     {start + "Content-Length : 3\r\nX: 1\r\nTransfer-Encoding\t: identity", true},
		"length in a value":    {start + "X: content-length\r\nTransfer-Encoding: chunked", false},
		"length in the path":   {"POST /content-length HTTP/1.1\r\nTransfer-Encoding: chunked", false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := HasConflictingFraming([]byte(c.head)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
