package message

import "bytes"

// HasConflictingFraming reports whether the head of a message, as it came, says in two ways where its body ends. What
// net/http makes of such a head no longer shows that, and the body may hide another message.
func HasConflictingFraming(head []byte) bool {
	lower := bytes.ToLower(head)
	return bytes.Contains(lower, []byte("\ncontent-length")) && bytes.Contains(lower, []byte("\ntransfer-encoding"))
}
