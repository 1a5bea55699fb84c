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

// Each valid answer of discovery is applied. An invalid or truncated one changes nothing, and the next call requests the
// complete list.
func TestWatchRecoversFromInvalidAndTruncatedAnswers(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	health := func() int {
		c := connect(t, p)
		c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	lookupStatus := func(id string) int {
		c := connect(t, p)
		c.send(t, lookRequest(id, 4000))
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	expectCall := func(want string) {
		t.Helper()
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Errorf("got the call %q, want %q", got, want)
		}
	}
	expectCall("")
	if got := health(); got != 503 {
		t.Errorf("health check without a list: got %d, want 503", got)
	}
	d.answers <- listJSON(5, true, listEntry("a", a.Address, discovery.Serving))
	expectCall("from=5&hold_ms=2000")
	if got := health(); got != 200 {
		t.Errorf("health check with a list: got %d, want 200", got)
	}
	for _, invalid := range []string{`{"index":6,"snap`, listJSON(6, false, listEntry("a", "nowhere", discovery.Serving)),
		listJSON(6, false, listEntry("a", a.Address, "RESTING")), ""} {
		d.answers <- invalid
		if invalid == "" {
			expectCall("from=5&hold_ms=2000") // net/http retries the call by itself; discovery may get a call twice
		} else {
			expectCall("")
		}
		d.answers <- listJSON(5, true, listEntry("a", a.Address, discovery.Serving))
		expectCall("from=5&hold_ms=2000")
		if got := lookupStatus("x"); got != 200 {
			t.Errorf("after %q: got %d, want 200", invalid, got)
		}
	}
	d.answers <- listJSON(7, false, listEntry("a", a.Address, discovery.Draining), listEntry("b", b.Address, discovery.Serving))
	expectCall("from=7&hold_ms=2000")
	served := a.Requests.Load()
	for i := range 20 {
		if got := lookupStatus(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: got %d, want 200", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests to the draining backend, want 0, and 20 to the other backend", a.Requests.Load()-served)
	}
}

// If discovery never answers a watch, the watch times out, and the next call is a watch from the same version on another
// connection.
func TestWatchRepeatsCallAfterTimeout(t *testing.T) {
	a := startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, "")
	for i, want := range []string{"", "from=5&hold_ms=2000", "from=5&hold_ms=2000", "from=6&hold_ms=2000"} {
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Fatalf("call %d is %q, want %q", i, got, want)
		}
		if i%2 == 0 {
			d.answers <- listJSON(5+i/2, true, listEntry("a", a.Address, discovery.Serving))
		}
	}
	c := connect(t, p)
	c.send(t, lookRequest("1", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s, want 200", resp.Status)
	}
}

// When discovery recovers, it answers only watches that are still open, so the proxy has to keep one open at any time. The
// fake discovery behaves in the same way.
func TestWatchIsOpenWhenDiscoveryRecovers(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, listJSON(3, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)))
	for i, want := range []string{"", "from=3&hold_ms=2000", "from=3&hold_ms=2000"} { // discovery is down until the last call
		if got := backendtest.Receive(t, "call", d.calls); got != want {
			t.Fatalf("call %d is %q, want %q", i, got, want)
		}
	}
	d.answers <- listJSON(4, false, listEntry("a", a.Address, discovery.Draining))
	if got := backendtest.Receive(t, "call", d.calls); got != "from=4&hold_ms=2000" {
		t.Fatalf("the next call is %q, want a watch from version 4", got)
	}
	before := a.Requests.Load()
	if ok := p.sendLookups(t, 20); ok != 20 || a.Requests.Load() != before {
		t.Errorf("%d of 20 served, %d requests to the draining backend", ok, a.Requests.Load()-before)
	}
}

// startPollingProxy starts a proxy that polls the endpoint list at least once per interval. known is the cached endpoint
// list that it starts with, or empty.
func startPollingProxy(t *testing.T, d *fakeDiscovery, interval time.Duration, known string) *runningProxy {
	t.Helper()
	replace := strings.NewReplacer(`"automatic"`, `"subscribe"`,
		`"cold_us"`, fmt.Sprintf(`"ask_every_us":%d,"cold_us"`, interval.Microseconds()))
	return startProxyWithSettings(t, replace.Replace(siteText), d.addr, 200, known)
}

// If the list is polled, a watch that gets no answer has to be detected within 6 s. A proxy that starts with a cached list
// makes one call for the changes since its version, without a call for the complete list before it.
func TestPollDetectsHungWatchInTime(t *testing.T) {
	a := startOKBackend(t)
	d := startDiscovery(t)
	startPollingProxy(t, d, 10*time.Second, listJSON(5, true, listEntry("a", a.Address, discovery.Serving)))
	got := backendtest.Receive(t, "call", d.calls)
	watchedSince := time.Now()
	var ms int64
	if _, err := fmt.Sscanf(got, "from=5&hold_ms=%d", &ms); err != nil || ms > 4000 {
		t.Errorf("the first call is %q, want a watch from version 5 of at most 4000 ms", got)
	}
	if got := backendtest.Receive(t, "call", d.calls); got != "" {
		t.Errorf("the call after the timeout is %q, want one for the complete list", got)
	}
	if took := time.Since(watchedSince); took > 5*time.Second {
		t.Errorf("the second call came %v after the first, want at most 5 s", took)
	}
}

// A change has to be applied within 6 s, even if calls hang, time out or are rejected in the meantime. Here a watch hangs
// when the change is made, and the call after it times out as well.
func TestPollRepeatsTimedOutCallInTime(t *testing.T) {
	t.Parallel()
	a, b := startOKBackend(t), startOKBackend(t)
	d := startDiscovery(t)
	p := startPollingProxy(t, d, 24*time.Second,
		listJSON(5, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Serving)))
	backendtest.Receive(t, "watch", d.calls)
	watchedSince := time.Now()
	backendtest.Receive(t, "call for the complete list", d.calls)
	backendtest.Receive(t, "call after that one timed out", d.calls)
	d.answers <- listJSON(6, true, listEntry("a", a.Address, discovery.Serving), listEntry("b", b.Address, discovery.Draining))
	backendtest.WaitUntil(t, func() bool { _, ok := p.loop.pool.Find("b"); return !ok })
	if took := time.Since(watchedSince); took > 6*time.Second {
		t.Errorf("the change was applied after %v, want at most 6 s", took)
	}
}

// If lists are polled, a process that starts without one polls until it has one. Otherwise the balancer decides when to
// poll, but it can't do that without a list.
func TestStartWithoutListPollsUntilListArrives(t *testing.T) {
	t.Parallel()
	a, d := startOKBackend(t), startDiscovery(t)
	for range 5 {
		d.answers <- ""
	}
	d.answers <- servingList(a)
	start := time.Now()
	p := startPollingProxy(t, d, 24*time.Second, "")
	backendtest.WaitUntil(t, func() bool { return p.healthStatus(t) == http.StatusOK })
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("ready after %v, want at most 10 s", took)
	}
}

// A list of 1,024 backends in indented JSON is applied, and so is an update that changes all of them.
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
	backendtest.WaitUntil(t, func() bool { return p.healthStatus(t) == http.StatusOK })
	if ok := p.sendLookups(t, 200); ok != 200 {
		t.Errorf("%d of 200 served", ok)
	}
	d.answers <- list(2, false, discovery.Draining)
	backendtest.WaitUntil(t, func() bool { _, ok := p.loop.pool.Find("s-000003ff"); return !ok })
	c := connect(t, p)
	c.send(t, lookRequest("1", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("with all draining: got %s, want 503", resp.Status)
	}
}

// watchTimeout is how long the discovery client waits for the answer to a watch beyond the wait that it requested, if
// discovery pushes the list.
const watchTimeout = 100 * time.Millisecond

// An answer that is truncated or stalls in the middle changes nothing: the last list stays in force, and the complete list
// is soon requested again.
func TestWatchRequestsIncompleteListAgain(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	complete := listJSON(9, true, listEntry("b", b.Address, discovery.Serving))
	for name, truncated := range map[string]bool{"is truncated": true, "stalls": false} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); {
				case n == 1:
					w.Header().Set("Content-Length", fmt.Sprint(len(complete)))
					_, _ = io.WriteString(w, complete[:len(complete)/2])
					_ = http.NewResponseController(w).Flush()
					if !truncated {
						select {
						case <-release:
						case <-r.Context().Done():
						}
					}
				case n == 2:
					_, _ = io.WriteString(w, complete)
				default:
					select {
					case <-release:
					case <-r.Context().Done():
					}
				}
			}))
			defer s.Close()
			defer close(release)
			p := startProxy(t, strings.TrimPrefix(s.URL, "http://"), 200, servingList(a))
			start, before := time.Now(), b.Requests.Load()
			if ok := p.sendLookups(t, 1); ok != 1 {
				t.Error("the last list is no longer in force")
			}
			backendtest.WaitUntil(t, func() bool { p.sendLookups(t, 1); return b.Requests.Load() > before })
			if took := time.Since(start); took > watchTimeout+time.Second {
				t.Errorf("the complete list was applied after %v", took)
			}
		})
	}
}

// A reload may set another address of discovery. The complete list from the new address replaces the old list, whatever
// their versions. The old watch ends, and later answers from the old address are ignored. The old list stays in force until
// the new one arrives.
func TestReloadReplacesDiscoveryAddress(t *testing.T) {
	a, b := startOKBackend(t), startOKBackend(t)
	services := []*fakeDiscovery{startDiscovery(t), startDiscovery(t)}
	p := startProxy(t, services[0].addr, 200, "")
	checkLookup := func(id string, target *backendtest.Backend) {
		t.Helper()
		before, c := target.Requests.Load(), connect(t, p)
		c.send(t, lookRequest(id, 4000))
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 || target.Requests.Load() != before+1 {
			t.Errorf("request %s: got %s, %d more requests to the expected backend; want 200 and 1", id, resp.Status, target.Requests.Load()-before)
		}
	}
	expectCall := func(target *fakeDiscovery, want string) {
		t.Helper()
		if got := backendtest.Receive(t, "call", target.calls); got != want {
			t.Errorf("got the call %q, want %q", got, want)
		}
	}
	setDiscovery := func(addr string) error {
		cfg := p.config
		cfg.Discovery = addr
		return p.Reload(cfg)
	}
	expectCall(services[0], "")
	services[0].answers <- listJSON(50, true, listEntry("a", a.Address, discovery.Serving))
	expectCall(services[0], "from=50&hold_ms=2000")
	checkLookup("1", a)
	for _, d := range services { // the first address is in use already, so setting it changes nothing
		if err := setDiscovery(d.addr); err != nil {
			t.Error(err)
		}
	}
	expectCall(services[1], "")
	checkLookup("2", a)
	services[1].answers <- listJSON(3, true, listEntry("b", b.Address, discovery.Serving))
	expectCall(services[1], "from=3&hold_ms=2000")
	checkLookup("3", b)
	for i := range 11 { // several reloads in quick succession
		if err := setDiscovery(services[i%2].addr); err != nil {
			t.Error(err)
		}
	}
	for range cap(services[0].answers) { // calls that have ended may take some of the answers
		services[0].answers <- servingList(a)
	}
	backendtest.WaitUntil(t, func() bool {
		c := connect(t, p)
		c.send(t, lookRequest("again", 4000))
		c.readResponse(t)
		return a.Requests.Load() > 2
	})
	checkLookup("4", a)
	p.stop()
	_ = setDiscovery(services[1].addr) // during the shutdown, which may reject it
	if err := backendtest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if err := setDiscovery(services[0].addr); err == nil { // after the shutdown
		t.Error("a proxy that has ended accepted a configuration")
	}
}
