package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/backendtest"
	"baylock/internal/config"
	"baylock/internal/settings"
	"baylock/internal/upstream"
)

// changedConfig returns the configuration of a running proxy with the given version and changed test settings, in which the
// first text of each pair in replace is replaced by the second.
func changedConfig(t *testing.T, p *runningProxy, version string, replace ...string) config.Config {
	t.Helper()
	for i := 0; i < len(replace); i += 2 {
		if !strings.Contains(siteText, replace[i]) {
			t.Fatalf("the test settings do not contain %s", replace[i])
		}
	}
	site, err := settings.Decode([]byte(strings.NewReplacer(replace...).Replace(siteText)))
	if err != nil {
		t.Fatal(err)
	}
	cfg := p.config
	cfg.Site, cfg.Version = site, version
	return cfg
}

func (p *runningProxy) mustReload(t *testing.T, cfg config.Config) {
	t.Helper()
	if err := p.Reload(cfg); err != nil {
		t.Fatal(err)
	}
}

const (
	lookProfile = `{"give_up_us":8000000,"name":"look","objective_us":4000000,"repeat":"idempotent","worth":1},`
	scanProfile = `{"give_up_us":9000000,"name":"scan","objective_us":4000000,"repeat":"idempotent","worth":2},`
	postProfile = `{"give_up_us":8000000,"name":"post","objective_us":4000000,"repeat":"at_most_once","worth":1}`
)

func scanRequest(id string) string { return strings.ReplaceAll(lookRequest(id, 4000), "look", "scan") }

// responseStatus sends a request on a new connection and returns the status of the response.
func (p *runningProxy) responseStatus(t *testing.T, text string) int {
	t.Helper()
	c := connect(t, p)
	defer c.Close()
	c.send(t, text)
	resp, _ := c.readResponse(t)
	return resp.StatusCode
}

func TestReloadAppliesSettings(t *testing.T) {
	timeouts := make(chan int, 10)
	p, _ := startProxyAndBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		ms, _ := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
		timeouts <- ms
		_, _ = io.WriteString(w, backendtest.OK)
		return true
	})
	longTimeoutPost := strings.Replace(shortPost("p"), "Timeout-Ms: 4000", "Timeout-Ms: 60000", 1)
	if got := p.responseStatus(t, scanRequest("1")); got != 400 {
		t.Errorf("before the reload, unknown class: got %d, want 400", got)
	}
	if got := p.responseStatus(t, longTimeoutPost); got != 200 {
		t.Errorf("before the reload, long timeout: got %d, want 200", got)
	}
	if ms := backendtest.Receive(t, "request", timeouts); ms > 4000 {
		t.Errorf("before the reload, the backend got a timeout of %d ms, want at most 4000 ms", ms)
	}

	p.mustReload(t, changedConfig(t, p, "", lookProfile, scanProfile,
		postProfile, strings.NewReplacer("8000000", "50000000", "4000000", "40000000").Replace(postProfile),
		`"dial_timeout_us":5000000`, `"dial_timeout_us":70000`, `"idle_close_us":30000000`, `"idle_close_us":4000000`))
	if got := p.responseStatus(t, scanRequest("2")); got != 200 {
		t.Errorf("after the reload, added class: got %d, want 200", got)
	}
	backendtest.Receive(t, "request", timeouts)
	if got := p.responseStatus(t, lookRequest("3", 4000)); got != 400 {
		t.Errorf("after the reload, removed class: got %d, want 400", got)
	}
	if got := p.responseStatus(t, longTimeoutPost); got != 200 {
		t.Errorf("after the reload, long timeout: got %d, want 200", got)
	}
	if ms := backendtest.Receive(t, "request", timeouts); ms < 20_000 || ms > 40_000 {
		t.Errorf("after the reload, the backend got a timeout of %d ms, want 20,000 to 40,000 ms", ms)
	}
	pool := p.loop.pool.Stats()
	// The pool closes idle connections after three quarters of the time after which backends close them.
	if pool.DialTimeout != 70*time.Millisecond || pool.IdleTimeout != 3*time.Second || pool.ReuseLimit > pool.IdleTimeout {
		t.Errorf("dial timeout %v, idle timeout %v, reuse limit %v; want 70 ms, 3 s and at most 3 s", pool.DialTimeout, pool.IdleTimeout, pool.ReuseLimit)
	}
}

// Reloads switch between two configurations under load. Every request is served, and no connection to a client or a backend
// is closed.
func TestReloadUnderLoadLosesNoRequest(t *testing.T) {
	const clients, reloads = 3, 60 // requests of more clients could exceed the class's learned limit on calls in flight and be rejected
	b := startOKBackend(t)
	// Each request may need a new connection, since one that was just used is not reused before upstream.ReuseDelay.
	p := startProxy(t, startDiscovery(t).addr, 4000, servingList(b))
	configs := []config.Config{
		changedConfig(t, p, "b", lookProfile, scanProfile+lookProfile, `"siblings":1`, `"siblings":3`,
			`"tenants":[`, `"tenants":[{"name":"other","portion":0.1,"quota_per_s":5},`,
			`"failure_domains":["a"]`, `"failure_domains":["b","a"]`, `"my_zone":0`, `"my_zone":1`),
		changedConfig(t, p, "a"),
	}
	statuses, stop := make(chan int), make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		c := connect(t, p)
		all.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				c.send(t, shortPost(id)) // an idempotent request could time out on a busy machine, and its retry would use another connection
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
					t.Errorf("%s: %v, close %v", id, err, resp.Close)
				}
				select {
				case statuses <- resp.StatusCode:
				case <-stop:
					return
				}
			}
		})
	}
	for i := range reloads {
		p.mustReload(t, configs[i%2])
		for range clients {
			if got := backendtest.Receive(t, "answer", statuses); got != 200 {
				t.Errorf("reload %d: got %d, want 200", i, got)
			}
		}
	}
	close(stop)
	all.Wait()
	if n := p.clients.Stats().Open; n != clients {
		t.Errorf("%d connections of %d clients", n, clients)
	}
	if n := len(b.Closed); n > 0 {
		t.Errorf("%d connections to the backend were closed", n)
	}
	n := b.Connections.Load()
	time.Sleep(upstream.ReuseDelay) // after this delay an idle connection may be reused
	p.mustReload(t, configs[0])
	if got := p.responseStatus(t, shortPost("last")); got != 200 || b.Connections.Load() != n {
		t.Errorf("got %d; %d connections to the backend so far, %d before the reload; want 200 and no new connection", got, b.Connections.Load(), n)
	}
}

// A reload with a configuration that is invalid in any part leaves the whole old configuration in force.
func TestRejectedReloadChangesNothing(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	p.mustReload(t, changedConfig(t, p, "first"))
	before, maxConnections := p.loop.settings.Load(), p.maxClientConnections()
	for want, invalidate := range map[string]func(*config.Config){
		"name":              func(c *config.Config) { c.Name = "other" },
		"listen":            func(c *config.Config) { c.Listen = "127.0.0.1:1" },
		"console":           func(c *config.Config) { c.Console = "" },
		"discovery":         func(c *config.Config) { c.Discovery = "nowhere" },
		"too few":           func(c *config.Config) { c.Limits.Sockets = 40 },
		"dial_timeout":      func(c *config.Config) { c.Site.DialTimeout = 0 },
		"profiles[2].name":  func(c *config.Config) { c.Site.Classes[2] = c.Site.Classes[1] },
		"Tier":              func(c *config.Config) { c.Site.Balancer.Tier = 1 },
		"SubscribeRequired": func(c *config.Config) { c.Site.Balancer.SubscribeRequired, c.Site.Balancer.MaxPollInterval = true, 1 },
		"Zone":              func(c *config.Config) { c.Site.Balancer.Zone = 5 },
		"Deadline":          func(c *config.Config) { c.Site.Balancer.Classes[0].Deadline = 0 },
		"Tenants":           func(c *config.Config) { c.Site.Balancer.Tenants[0].RateQuota = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			cfg := changedConfig(t, p, "bad", lookProfile, scanProfile+lookProfile)
			cfg.Limits.Sockets = 800
			invalidate(&cfg)
			if err := p.Reload(cfg); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want an error that names the invalid part", err)
			}
			if p.loop.settings.Load() != before || p.maxClientConnections() != maxConnections {
				t.Error("the rejected configuration was applied in part")
			}
		})
	}
	if got := p.responseStatus(t, scanRequest("1")); got != 400 {
		t.Errorf("class of the rejected settings: got %d, want 400", got)
	}
	if got := p.responseStatus(t, lookRequest("2", 4000)); got != 200 {
		t.Errorf("class of the settings in force: got %d, want 200", got)
	}
}

// The settings under which a request arrived decide whether it may be retried.
func TestReloadKeepsIdempotencyOfOpenRequests(t *testing.T) {
	for name, c := range map[string]struct {
		request          string
		old, replacement string
		want             int
		wantAttempts     int32
	}{
		"not idempotent": {shortPost("1"), postProfile,
			strings.Replace(postProfile, `"at_most_once"`, `"deduplicated","dedup_scope":"all","dedup_window_us":8000000`, 1), 502, 1},
		"with key, window changed": {rateRequest("1"), `"dedup_window_us":9000000`, `"dedup_window_us":1`, 200, 2},
		"with key, class removed": {rateRequest("1"), `{"dedup_scope":"cell","dedup_window_us":9000000,"give_up_us":8000000,"name":"rate",` +
			`"objective_us":1000000,"late_share":0.5,"repeat":"deduplicated","worth":1},`, "", 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan struct{}, 1), make(chan struct{})
			p, b := startProxyAndBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 1 {
					arrived <- struct{}{}
					<-release
					return false // closes the connection without a response
				}
				_, _ = io.WriteString(w, backendtest.OK)
				return true
			})
			cl := connect(t, p)
			cl.send(t, c.request)
			backendtest.Receive(t, "request at the backend", arrived)
			p.mustReload(t, changedConfig(t, p, "", c.old, c.replacement))
			close(release)
			if resp, _ := cl.readResponse(t); resp.StatusCode != c.want || b.Requests.Load() != c.wantAttempts {
				t.Errorf("got %s after %d attempts", resp.Status, b.Requests.Load())
			}
		})
	}
}

// A request may be parsed under the old settings and reach the loop after a reload. The loop then updates the indices of its
// class and tenant to the new settings, or rejects it without sending it if its class no longer exists or has a different
// idempotency.
func TestReloadRevalidatesQueuedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		old, replacement string
		want             int
	}{
		"class moved":          {lookProfile, scanProfile + lookProfile, 200},
		"tenant moved":         {`"tenants":[`, `"tenants":[{"name":"other","portion":0,"quota_per_s":0},`, 200},
		"tenant removed":       {`"acme"`, `"other"`, 200},
		"class removed":        {lookProfile, scanProfile, 503},
		"class not idempotent": {lookProfile, strings.Replace(lookProfile, "idempotent", "at_most_once", 1), 503},
		"class unchanged":      {`"siblings":1`, `"siblings":2`, 200},
	} {
		t.Run(name, func(t *testing.T) {
			p, b := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
			accepted := make(chan balancer.Request, 1)
			release := make(chan struct{})
			p.onLoop(func() { <-release })
			backendtest.WaitUntil(t, func() bool { return len(p.loop.events) == 0 }) // the loop is blocked
			reloaded := make(chan error, 1)
			cfg := changedConfig(t, p, "", c.old, c.replacement)
			go func() { reloaded <- p.Reload(cfg) }()
			backendtest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
			cl := connect(t, p)
			cl.send(t, lookRequest("1", 4000))
			backendtest.WaitUntil(t, func() bool { return len(p.loop.events) == 2 })
			p.onLoop(func() {
				for _, r := range p.loop.requests {
					accepted <- r.Request.Request
				}
				close(accepted)
			})
			close(release)
			if err := backendtest.Receive(t, "end of the reload", reloaded); err != nil {
				t.Fatal(err)
			}
			resp, _ := cl.readResponse(t)
			if sent := b.Requests.Load(); resp.StatusCode != c.want || (sent > 0) != (c.want == 200) {
				t.Errorf("got %s after %d attempts", resp.Status, sent)
			}
			site := p.loop.settings.Load().Site
			if r, ok := <-accepted; ok && site.Classes[r.Class] != "look" {
				t.Errorf("accepted as class %q", site.Classes[r.Class])
			} else if ok && r.Tenant != config.NoTenant && site.Tenants[r.Tenant] != "acme" {
				t.Errorf("accepted as tenant %q", site.Tenants[r.Tenant])
			}
		})
	}
}

// The response to a readiness call is one line that names the settings in force.
func TestReadyReportsSettingsInForce(t *testing.T) {
	p, _, _ := startWithConsoleAndBackends(t)
	readiness := func() string {
		t.Helper()
		c := dial(t, p.ConsoleAddr())
		c.send(t, "GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, body := c.readResponse(t)
		if resp.StatusCode != 200 || strings.Count(body, "\n") != 1 || !strings.HasSuffix(body, "\n") {
			t.Errorf("got %s %q, want 200 and one line", resp.Status, body)
		}
		return body
	}
	p.mustReload(t, changedConfig(t, p, "0123456789ab"))
	at := p.loop.settings.Load().TakenAt.UTC().Format("2006-01-02T15:04:05.000Z")
	if got := readiness(); got != "ok settings=0123456789ab taken="+at+"\n" {
		t.Errorf("got %q, want the version and the time of the reload", got)
	}
	p.mustReload(t, changedConfig(t, p, "ba9876543210"))
	bad := changedConfig(t, p, "bad")
	bad.Discovery = ""
	if err := p.Reload(bad); err == nil {
		t.Error("a configuration without an address of discovery was accepted")
	}
	if got := readiness(); !strings.Contains(got, " settings=ba9876543210 ") {
		t.Errorf("got %q, want the version of the last accepted configuration", got)
	}
}

// Requests that arrived under settings with longer deadlines keep these deadlines at SIGTERM, also after two reloads.
func TestSnapshotKeepsLongestDeadlineOfOpenRequests(t *testing.T) {
	p, _ := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	const before, after = 8 * time.Second, 90 * time.Millisecond
	first := p.loop.settings.Load().TakenAt
	short := []string{"8000000", "90000", "4000000", "80000", "1000000,", "80000,"}
	p.mustReload(t, changedConfig(t, p, "", short...))
	second := p.loop.settings.Load().TakenAt
	p.mustReload(t, changedConfig(t, p, "again", short...))
	current := p.loop.settings.Load()
	for _, c := range []struct {
		at   time.Time
		want time.Duration
	}{
		{current.TakenAt, before},
		{second.Add(before - time.Nanosecond), before}, // the second reload doesn't extend this time
		{second.Add(before), after},
	} {
		if got := current.LongestDeadline(c.at); got != c.want {
			t.Errorf("%v after the start: got %v, want %v", c.at.Sub(first), got, c.want)
		}
	}
}

// A reload applies new limits on file descriptors and memory at once.
func TestReloadAppliesLimits(t *testing.T) {
	p, _ := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	cfg := changedConfig(t, p, "")
	cfg.Limits.Sockets, cfg.Limits.MemoryMB = 500, 100
	p.mustReload(t, cfg)
	clients, backends := cfg.Limits.Connections()
	pool := p.loop.pool.Stats()
	if p.maxClientConnections() != clients || pool.MaxOpen != backends || p.limits.budget.Limit() != 100<<20/8 {
		t.Errorf("%d client connections, %d backend connections, %d bytes for buffered bodies", p.maxClientConnections(), pool.MaxOpen, p.limits.budget.Limit())
	}
	t.Cleanup(func() { // the Go runtime's memory limit would also apply to later tests
		cfg.Limits.MemoryMB = 0
		p.mustReload(t, cfg)
	})
}
