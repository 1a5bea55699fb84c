package message

import "bytes"

// HasConflictingFraming reports whether the raw head of a message has both a Content-Length and a Transfer-Encoding
// field. A head parsed by net/http no longer shows the conflict, and the body may hide another message (request
// smuggling).
func HasConflictingFraming(head []byte) bool {
	lower := bytes.ToLower(head)
	return bytes.Contains(lower, []byte("\ncontent-length")) && bytes.Contains(lower, []byte("\ntransfer-encoding"))
}
