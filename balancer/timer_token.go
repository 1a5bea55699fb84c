package balancer

import "strings"

// timerKind is what a timer is for.
type timerKind string

// The kinds of timers.
const (
	subscribeTimer timerKind = "subscribe"  // time to try the subscription again
	expiryTimer    timerKind = "expire"     // a request that waits in its key queue has no time left
	cooldownTimer  timerKind = "resume-key" // a key queue's cooldown has ended
)

// timerTokenSeparator stands between the kind and the subject.
const timerTokenSeparator = ":"

// timerToken identifies a timer that the Host was asked for.
type timerToken struct {
	kind    timerKind
	subject string // the request's ID with expiryTimer, the key with cooldownTimer
}

// String encodes a token for Host.SetTimer.
func (t timerToken) String() string { return string(t.kind) + timerTokenSeparator + t.subject }

// parseTimerToken decodes what String encoded. Other text gives a token of no known kind.
func parseTimerToken(text string) timerToken {
	kind, subject, _ := strings.Cut(text, timerTokenSeparator)
	return timerToken{kind: timerKind(kind), subject: subject}
}
