package downstream

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestParseTimeoutLeavesMarginForResponse(t *testing.T) {
	const deadline = 8 * time.Second
	for header, want := range map[string]time.Duration{
		"0":                   0,
		"1":                   875 * time.Microsecond,
		"80":                  70 * time.Millisecond,
		"240":                 210 * time.Millisecond,
		"4000":                4*time.Second - responseMargin,
		"8000":                deadline - responseMargin,
		"9223372036854775807": deadline - responseMargin,
	} {
		t.Run(header, func(t *testing.T) {
			if got, err := parseTimeout(header, deadline); err != nil || got != want {
				t.Errorf("got %v, %v, want %v", got, err, want)
			}
		})
	}
	for _, header := range []string{"", "-1", "1.5", "1s", "9223372036854775808"} {
		t.Run("invalid "+header, func(t *testing.T) {
			if _, err := parseTimeout(header, deadline); err == nil {
				t.Error("no error")
			}
		})
	}
}

func TestForwardedHeaderDropsHopByHopHeaders(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	for name, value := range map[string]string{"Connection": "close, X-Hop", "X-Hop": "1", "Te": "trailers", "Expect": "100-continue",
		"X-End": "2", "User-Agent": "a"} {
		r.Header.Set(name, value)
	}
	got := forwardedHeader(r.Header)
	if len(got) != 2 || got.Get("X-End") != "2" || got.Get("User-Agent") != "a" {
		t.Errorf("got %v", got)
	}
}

func TestForwardedHeaderAddsNoUserAgent(t *testing.T) {
	got := forwardedHeader(http.Header{})
	if agent := got["User-Agent"]; len(agent) != 1 || agent[0] != "" {
		t.Errorf("got %q, want one empty value", agent)
	}
}
