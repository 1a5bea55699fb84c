package balancer

import "testing"

func TestParseTimerTokenReturnsWhatStringEncoded(t *testing.T) {
	for _, token := range []timerToken{
		{kind: subscribeTimer},
		{expiryTimer, "r1"},
		{cooldownTimer, "key:with:separators"},
		{cooldownTimer, ""},
	} {
		t.Run(token.String(), func(t *testing.T) {
			if got := parseTimerToken(token.String()); got != token {
				t.Errorf("parseTimerToken(%q) = %+v, want %+v", token, got, token)
			}
		})
	}
}
