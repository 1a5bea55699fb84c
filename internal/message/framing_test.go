package message

import "testing"

func TestHasConflictingFraming(t *testing.T) {
	for head, want := range map[string]bool{
		"GET / HTTP/1.1\r\nHost: h":                                                      false,
		"POST / HTTP/1.1\r\nContent-Length: 3":                                           false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked":                                  false,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked":             true,
		"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 3":             true,
		"POST / HTTP/1.1\r\nX: content-length\r\nTransfer-Encoding: chunked":             false,
		"POST /content-length HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: 1":            false,
		"POST / HTTP/1.1\nContent-Length: 3\nTransfer-Encoding: chunked":                 true,
		"POST / HTTP/1.1\r\nContent-Length : 3\r\nX: 1\r\nTransfer-Encoding\t: identity": true,
	} {
		t.Run(head, func(t *testing.T) {
			if got := HasConflictingFraming([]byte(head)); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
