package balancer

import "strings"

// timerKind is the purpose of a timer.
type timerKind string

// The kinds of timers.
const (
	subscribeTimer timerKind = "subscribe"  // the backoff before the next subscription attempt has ended
	expiryTimer    timerKind = "expire"     // a request in a key queue can no longer be answered in time
	cooldownTimer  timerKind = "resume-key" // the cooldown of a key queue has ended
)

// timerTokenSeparator separates the kind of a timer from its subject.
const timerTokenSeparator = ":"

// timerToken identifies a timer that was set with Host.SetTimer.
type timerToken struct {
	kind    timerKind
	subject string // request ID for expiryTimer, key for cooldownTimer
}

// String encodes a token for Host.SetTimer.
func (t timerToken) String() string { return string(t.kind) + timerTokenSeparator + t.subject }

// parseTimerToken decodes a token that String has encoded. For other text it returns a token of an unknown
// kind.
func parseTimerToken(text string) timerToken {
	kind, subject, _ := strings.Cut(text, timerTokenSeparator)
	return timerToken{kind: timerKind(kind), subject: subject}
}
