package clientconn

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"baylock/internal/backendtest"
	"baylock/internal/message"
)

func TestHeadMemoryFollowsRequests(t *testing.T) {
	budget := message.NewHeadBudget()
	budget.SetLimit(0)
	m := headMemory{reservation: budget.Reserve()}
	large := []byte(strings.Repeat("a: b\r\n", 1000))
	expect := func(step string, inUse bool) {
		t.Helper()
		if got := budget.InUse(); (got > 0) != inUse {
			t.Errorf("%s: %d bytes are reserved", step, got)
		}
	}
	if !m.add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) {
		t.Error("an ordinary head was rejected")
	}
	expect("ordinary head", false)
	if !m.add(large) {
		t.Error("a large head was rejected")
	}
	expect("large head", true)
	m.requestRead()
	m.add([]byte("G"))
	expect("open request", true)
	m.requestDone()
	expect("next request", false)
	for m.add(large) { // until the budget is exhausted
	}
	expect("exhausted budget", true)
	other := headMemory{reservation: budget.Reserve()}
	if !other.add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) {
		t.Error("with the budget exhausted, an ordinary head was rejected")
	}
	if other.add(large) {
		t.Error("with the budget exhausted, a large head was accepted")
	}
	m.release()
	expect("released", false)
}

// Guards against an estimate that is smaller than the memory that a parsed head takes.
func TestHeadMemoryCoversParsedHead(t *testing.T) {
	const heads = 50
	numbered := func(n int, format string) string {
		return backendtest.AppendNumbered("", format, n*len(fmt.Sprintf(format, 0)))
	}
	for name, fields := range map[string]string{
		"short":    numbered(3800, "%03x:\r\n"),
		"growing":  numbered(1800, "%03x:\r\n"), // right after the map has grown
		"ordinary": numbered(330, "Field-Of-Usual-Length-%03x: some value of 16\r\n"),
		"one":      "Long: " + strings.Repeat("x", MaxHead) + "\r\n",
		"repeated": strings.Repeat("A: b\r\n", 3000),
	} {
		t.Run(name, func(t *testing.T) {
			text := "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
			budget := message.NewHeadBudget()
			budget.SetLimit(0)
			m := headMemory{reservation: budget.Reserve()}
			if !m.add([]byte(text)) {
				t.Fatal("the head was rejected")
			}
			estimate := budget.InUse() + unreservedHeadMemory
			var requests []*http.Request
			before := backendtest.LiveMemory()
			for range heads {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 16))
				if err != nil {
					t.Fatal(err)
				}
				requests = append(requests, r)
			}
			if used := (backendtest.LiveMemory() - before) / heads; used > estimate {
				t.Errorf("a head takes %d bytes, the estimate is %d", used, estimate)
			}
			runtime.KeepAlive(requests)
		})
	}
}
