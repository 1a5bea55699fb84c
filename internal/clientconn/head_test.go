package clientconn

import (
	"strings"
	"testing"
)

func TestRequestHeadReportsFraming(t *testing.T) {
	const requestLine = "POST / HTTP/1.1"
	const start = requestLine + "\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		pieces         []string
		started, valid bool
	}{
		"nothing":              {nil, false, false},
		"one byte":             {[]string{"P"}, true, false},
		"incomplete":           {[]string{start}, true, false},
		"complete":             {[]string{start + "\r\n"}, true, true},
		"end in two pieces":    {[]string{start + "\r", "\n"}, true, true},
		"byte by byte":         {strings.Split(start+"Content-Length: 3\r\n\r\n", ""), true, true},
		"chunked":              {[]string{start + "Transfer-Encoding: chunked\r\n\r\n"}, true, true},
		"two framings":         {[]string{start + "Content-Length: 3\r\nTRANSFER-encoding: chunked\r\n\r\n"}, true, false},
		"framings in pieces":   {[]string{start + "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n\r\n"}, true, false},
		"second framing after": {[]string{start + "Content-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n"}, true, true},
		"empty line":           {[]string{"\r\n"}, false, false},
		"after empty lines":    {[]string{"\r\n\r", "\n" + start + "\r\n"}, true, true},
		"two after empty line": {[]string{"\r\n\r\n" + start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"}, true, false},
		"start is missing":     {[]string{"ST / HTTP/1.1\r\nHost: h\r\n\r\n"}, true, false},
		"too long":             {[]string{start + strings.Repeat("x", 2*MaxHead), "\r\n\r\n"}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var head requestHead
			for _, piece := range c.pieces {
				head.record([]byte(piece))
			}
			if head.started() != c.started || head.hasValidFraming(requestLine) != c.valid {
				t.Errorf("started %v, valid %v; want %v, %v", head.started(), head.hasValidFraming(requestLine), c.started, c.valid)
			}
			head.reset()
			if head.started() || head.hasValidFraming(requestLine) {
				t.Error("reset did not clear the recorded head")
			}
		})
	}
}
