package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baylock/internal/backendtest"
	"baylock/internal/discovery"
)

// Each answer is applied. An invalid or broken one changes nothing, and the next call is for the complete list.
func TestWatchRecoversFromInvalidAndBrokenAnswers(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	health := func() int {
		c := connect(t, p)
		c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	ask := func(id string) int {
		c := connect(t, p)
		c.send(t, lookRequest(id, 4000))
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	query := func(want string) {
		t.Helper()
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	query("")
	if got := health(); got != 503 {
		t.Errorf("healthy without a list: %d", got)
	}
	d.answers <- listJSON(5, true, listEntry("a", a.Address, discovery.Serving))
	query("from=5&hold_ms=2000")
	if got := health(); got != 200 {
		t.Errorf("not healthy with a list: %d", got)
	}
	for _, nonsense := range []string{`{"index":6,"snap`, listJSON(6, false, listEntry("a", "nowhere", discovery.Serving)),
		listJSON(6, false, listEntry("a", a.Address, "RESTING")), ""} {
		d.answers <- nonsense
		if nonsense == "" {
			query("from=5&hold_ms=2000") // net/http asks once more by itself; a question may be put twice
		} else {
			query("")
		}
		d.answers <- listJSON(5, true, listEntry("a", a.Address, discovery.Serving))
		query("from=5&hold_ms=2000")
		if got := ask("x"); got != 200 {
			t.Errorf("after %q: %d", nonsense, got)
		}
	}
	d.answers <- listJSON(7, false, listEntry("a", a.Address, discovery.Draining), listEntry("b", b.Address, discovery.Serving))
	query("from=7&hold_ms=2000")
	served := a.Requests.Load()
	for i := range 20 {
		if got := ask(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: %d", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests to a draining backend", a.Requests.Load()-served)
	}
}

// The connection to discovery falls silent: the fake holds the watch and never answers. The next call is one from the same
// version, on another connection.
func TestWatchRepeatsCallAfterSilence(t *testing.T) {
	a := startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	for i, want := range []string{"", "from=5&hold_ms=2000", "from=5&hold_ms=2000", "from=6&hold_ms=2000"} {
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Fatalf("call %d asked %q, want %q", i, got, want)
		}
		if i%2 == 0 {
			d.answers <- listJSON(5+i/2, true, listEntry("a", a.Address, discovery.Serving))
		}
	}
	c := connect(t, p)
	c.send(t, lookRequest("1", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// At its return discovery answers only watches that still wait, so one has to be open at any time. The fake answers only
// those.
func TestWatchIsOpenWhenDiscoveryReturns(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, listJSON(3, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)))
	for i, want := range []string{"", "from=3&hold_ms=2000", "from=3&hold_ms=2000"} { // down until the last
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Fatalf("call %d asked %q, want %q", i, got, want)
		}
	}
	d.answers <- listJSON(4, false, listEntry("a", a.Address, discovery.Draining))
	if got := backendtest.Receive(t, "call", d.calls); got != "from=4&hold_ms=2000" {
		t.Fatalf("then asked %q", got)
	}
	before := a.Requests.Load()
	if ok := p.serveLookups(t, 20); ok != 20 || a.Requests.Load() != before {
		t.Errorf("%d of 20 served, %d by a backend that drains", ok, a.Requests.Load()-before)
	}
}

// startPolling starts a proxy that polls the list at least at an interval. known is the list that it starts with, or empty.
func startPolling(t *testing.T, d *fakeDiscovery, interval time.Duration, known string) *runningProxy {
	t.Helper()
	replace := strings.NewReplacer(`"automatic"`, `"subscribe"`,
		`"cold_us"`, fmt.Sprintf(`"ask_every_us":%d,"cold_us"`, interval.Microseconds()))
	return startProxyWithSettings(t, replace.Replace(siteText), d.addr, 200, known)
}

// Where the list is polled, a watch that falls silent has to be detected within 6 s. A start with a known version makes one
// call, not one for the complete list and then another.
func TestPollDetectsSilentWatchInTime(t *testing.T) {
	a := startOKBackend(t)
	d := startDiscovery(t)
	startPolling(t, d, 10*time.Second, listJSON(5, true, listEntry("a", a.Address, discovery.Serving)))
	got := backendtest.Receive(t, "call", d.calls)
	opened := time.Now()
	var ms int64
	if _, err := fmt.Sscanf(got, "from=5&hold_ms=%d", &ms); err != nil || ms > 4000 {
		t.Errorf("first asked %q", got)
	}
	if got := backendtest.Receive(t, "call", d.calls); got != "" {
		t.Errorf("after the silence asked %q", got)
	}
	if took := time.Since(opened); took > 5*time.Second {
		t.Errorf("asked %v after the watch fell silent", took)
	}
}

// A change has to be applied within 6 s, whatever call was silent, abandoned or rejected meanwhile. Here a watch falls silent
// as the change is made, and the call after it is abandoned.
func TestPollReplacesAbandonedCallInTime(t *testing.T) {
	t.Parallel()
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startPolling(t, d, 24*time.Second,
		listJSON(5, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)))
	backendtest.Receive(t, "watch", d.calls)
	silent := time.Now()
	backendtest.Receive(t, "call for the complete list", d.calls)
	backendtest.Receive(t, "call after that was abandoned", d.calls)
	d.answers <- listJSON(6, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Draining))
	backendtest.WaitUntil(t, func() bool { _, ok := p.loop.pool.Find("b"); return !ok })
	if took := time.Since(silent); took > 6*time.Second {
		t.Errorf("applied after %v", took)
	}
}

// A process that starts without a list, where lists are polled, polls until it has one: the balancer, which otherwise says
// when to poll, has none to begin with.
func TestStartWithoutListPollsUntilListed(t *testing.T) {
	t.Parallel()
	a, d := startOKBackend(t), startDiscovery(t)
	for range 5 {
		d.answers <- ""
	}
	d.answers <- servingList(a)
	began := time.Now()
	p := startPolling(t, d, 24*time.Second, "")
	backendtest.WaitUntil(t, func() bool { return p.health(t) == http.StatusOK })
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
}

// A list of 1,024 backends, indented, and as many changes of it.
func TestWatchAppliesListOfThousandBackends(t *testing.T) {
	t.Parallel()
	b, d := startOKBackend(t), startDiscovery(t)
	list := func(index int, full bool, status discovery.Status) string {
		var entries []string
		for i := range 1024 {
			entries = append(entries, listEntry(fmt.Sprintf("s-%08x", i), b.Address, status))
		}
		var text bytes.Buffer
		if err := json.Indent(&text, []byte(listJSON(index, full, entries...)), "", "        "); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	d.answers <- list(1, true, discovery.Serving)
	p := startProxy(t, d.addr, 200, "")
	backendtest.WaitUntil(t, func() bool { return p.health(t) == http.StatusOK })
	if ok := p.serveLookups(t, 200); ok != 200 {
		t.Errorf("%d of 200 served", ok)
	}
	d.answers <- list(2, false, discovery.Draining)
	backendtest.WaitUntil(t, func() bool { _, ok := p.loop.pool.Find("s-000003ff"); return !ok })
	c := connect(t, p)
	c.send(t, lookRequest("1", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("with all draining: got %s", resp.Status)
	}
}

// watchTimeout is how long the discovery client waits for a pushed answer beyond the wait that it asked for.
const watchTimeout = 100 * time.Millisecond

// A list that breaks off or stalls in the middle changes nothing: the last one stays in force, and the complete list is
// requested again soon.
func TestWatchRequestsIncompleteListAgain(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	complete := listJSON(9, true, listEntry("b", b.Address, discovery.Serving))
	for name, cut := range map[string]bool{"breaks off": true, "stalls": false} {
		t.Run(name, func(t *testing.T) {
			over := make(chan struct{})
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); {
				case n == 1:
					w.Header().Set("Content-Length", fmt.Sprint(len(complete)))
					_, _ = io.WriteString(w, complete[:len(complete)/2])
					_ = http.NewResponseController(w).Flush()
					if !cut {
						select {
						case <-over:
						case <-r.Context().Done():
						}
					}
				case n == 2:
					_, _ = io.WriteString(w, complete)
				default:
					select {
					case <-over:
					case <-r.Context().Done():
					}
				}
			}))
			defer s.Close()
			defer close(over)
			p := startProxy(t, strings.TrimPrefix(s.URL, "http://"), 200, servingList(a))
			start, before := time.Now(), b.Requests.Load()
			if ok := p.serveLookups(t, 1); ok != 1 {
				t.Error("the last list does not stand")
			}
			backendtest.WaitUntil(t, func() bool { p.serveLookups(t, 1); return b.Requests.Load() > before })
			if took := time.Since(start); took > watchTimeout+time.Second {
				t.Errorf("the present list was known after %v", took)
			}
		})
	}
}

// A new configuration names another address of discovery: its complete list replaces the old one, whatever their versions, the
// old watch ends, and later answers of the old address are ignored. The old list stays in force until then.
func TestReloadReplacesDiscovery(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	ds := []*fakeDiscovery{startDiscovery(t), startDiscovery(t)}
	p := startProxy(t, ds[0].addr, 200, "")
	ask := func(id string, of *backendtest.Backend) {
		t.Helper()
		came, c := of.Requests.Load(), connect(t, p)
		c.send(t, lookRequest(id, 4000))
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 || of.Requests.Load() != came+1 {
			t.Errorf("%s: got %s, %d more requests", id, resp.Status, of.Requests.Load()-came)
		}
	}
	query := func(of *fakeDiscovery, want string) {
		t.Helper()
		if got := backendtest.Receive(t, "call", of.calls); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	rename := func(addr string) error {
		cfg := p.config
		cfg.Discovery = addr
		return p.Reload(cfg)
	}
	query(ds[0], "")
	ds[0].answers <- listJSON(50, true, listEntry("a", a.Address, discovery.Serving))
	query(ds[0], "from=50&hold_ms=2000")
	ask("1", a)
	for _, d := range ds { // the same again changes nothing
		if err := rename(d.addr); err != nil {
			t.Error(err)
		}
	}
	query(ds[1], "")
	ask("2", a)
	ds[1].answers <- listJSON(3, true, listEntry("b", b.Address, discovery.Serving))
	query(ds[1], "from=3&hold_ms=2000")
	ask("3", b)
	for i := range 11 { // several in a row
		if err := rename(ds[i%2].addr); err != nil {
			t.Error(err)
		}
	}
	for range cap(ds[0].answers) { // some may go to calls that have ended
		ds[0].answers <- servingList(a)
	}
	backendtest.WaitUntil(t, func() bool {
		c := connect(t, p)
		c.send(t, lookRequest("again", 4000))
		c.readResponse(t)
		return a.Requests.Load() > 2
	})
	ask("4", a)
	p.stop()
	_ = rename(ds[1].addr) // while it ends
	if err := backendtest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if err := rename(ds[0].addr); err == nil { // and after
		t.Error("a proxy that has ended took a configuration")
	}
}
