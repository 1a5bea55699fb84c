package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
	"baylock/internal/settings"
)

// startWithConsole starts a proxy that operators can call, in a folder that it may share with others; listen is the
// clients' address.
func startWithConsole(t *testing.T, dir, listen, watched string, entries ...string) *running {
	t.Helper()
	site, err := settings.Decode([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "n0", Listen: listen, Console: "127.0.0.1:0", TempDir: dir, Discovery: watched, Seed: 7,
		Sockets: 400, Site: site, Log: slog.New(slog.DiscardHandler)}
	if cfg.Known, err = discovery.ParseList([]byte(listText(1, true, entries...))); err != nil {
		t.Fatal(err)
	}
	return start(t, cfg)
}

// operated starts a proxy with a console and two backends.
func operated(t *testing.T) (p *running, a, b *fakeBackend) {
	t.Helper()
	a, b = startBackend(t, says(served, true)), startBackend(t, says(served, true))
	return startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr,
		listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)), a, b
}

// dial opens a connection to an address; it ends with the test.
func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return newClient(c)
}

// operate makes a call and returns the answer's status.
func operate(t *testing.T, p *running, line, body string) int {
	t.Helper()
	c := dial(t, p.ConsoleAddr())
	c.send(t, fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
	resp, _ := c.answer(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("%s: the connection stays: %v", line, err)
	}
	return resp.StatusCode
}

func (p *running) health(t *testing.T) int {
	t.Helper()
	c := connect(t, p)
	c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, _ := c.answer(t)
	return resp.StatusCode
}

// asks sends n requests on one connection and returns how many were served. One that the rules refuse, as they may
// on a busy machine, is sent again.
func (p *running) asks(t *testing.T, n int) (ok int) {
	t.Helper()
	c := connect(t, p)
	for end := time.Now().Add(patience); n > 0; {
		c.send(t, look(fmt.Sprint(time.Now().UnixNano()), 4000))
		resp, _ := c.answer(t)
		if resp.StatusCode == 200 {
			ok++
		}
		if resp.StatusCode != 503 || time.Now().After(end) {
			n--
		} else {
			time.Sleep(10 * time.Millisecond)
		}
		if resp.Close {
			c = connect(t, p)
		}
	}
	return ok
}

// What is no call gets a no and changes nothing; a repeated call is harmless.
func TestTheConsoleAnswersYesAndNo(t *testing.T) {
	p, _, _ := operated(t)
	for _, c := range []struct {
		line, body string
		want       int
	}{
		{"GET /_ready", "", 200},
		{"GET /_ready", "a", 400},
		{"GET /_ready?x=1", "", 404},
		{"HEAD /_ready", "", 405},
		{"POST /_ready", "", 405},
		{"GET /_health", "", 404},
		{"GET /", "", 404},
		{"GET /_backends/detach", "", 405},
		{"POST /_backends/detach", "", 400},
		{"POST /_backends/detach", "nobody", 404},
		{"POST /_backends/detach", "a b", 404},
		{"POST /_backends/detach", "\x00\xff", 404},
		{"POST /_backends/detach", strings.Repeat("a", adminMaxBodyBytes+1), 413},
		{"POST /_backends/attach", "nobody", 404},
		{"POST /_backends/attach", "a", 200}, // it is in use: nothing to do
		{"POST /_backends/detach", "a", 200},
		{"POST /_backends/detach", "a\n", 200},
		{"POST /_backends/attach", "a", 200},
		{"POST /_backends/attach", "a", 200},
		{"POST /_backends/DETACH", "a", 404},
		{"POST /_lameduck/on", "now", 400},
		{"DELETE /_lameduck/on", "", 405},
		{"POST /_lameduck/off", "", 200},
	} {
		if c.line == "HEAD /_ready" {
			resp, err := http.Head("http://" + p.ConsoleAddr() + "/_ready")
			if err != nil || resp.StatusCode != c.want {
				t.Errorf("%s: got %v, %v", c.line, resp, err)
			}
			continue
		}
		if got := operate(t, p, c.line, c.body); got != c.want {
			t.Errorf("%s %.20q: got %d, want %d", c.line, c.body, got, c.want)
		}
	}
	if got := p.health(t); got != 200 {
		t.Errorf("health is %d", got)
	}
	if state := p.operatorState.Current(); len(state.Detached) != 0 || state.LameDuck {
		t.Errorf("what operators said: %+v", state)
	}
	for _, text := range []string{"what is this\r\n\r\n", "GET /_ready HTTP/1.1\r\n\r\n", // no Host
		"POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\na"} {
		c := dial(t, p.ConsoleAddr())
		c.send(t, text)
		if resp, _ := c.answer(t); resp.StatusCode != 400 {
			t.Errorf("%.20q: got %s", text, resp.Status)
		}
	}
}

// Callers that say nothing, or half a call, and stay, keep nobody from an answer within its second; descriptors for
// them are bounded.
func TestSilentCallersDelayNobody(t *testing.T) {
	p, _, _ := operated(t)
	for i := range 4 * adminMaxConnections {
		c := dial(t, p.ConsoleAddr())
		switch i % 3 {
		case 1:
			_, _ = io.WriteString(c, "GET /_rea") // it may have been closed to make room
		case 2:
			_, _ = io.WriteString(c, "POST /_backends/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		}
	}
	for range 20 {
		start := time.Now()
		if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Errorf("got %d", got)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("answered after %v", took)
		}
		if n := p.console.connections.Stats().Open; n > adminMaxConnections {
			t.Errorf("%d connections", n)
		}
	}
}

// A yes comes only when the loop has done it, and a no when it can't in time.
func TestAYesMeansDone(t *testing.T) {
	p, _, _ := operated(t)
	release := make(chan struct{})
	p.loop.post(func() { <-release })
	start := time.Now()
	if got := operate(t, p, "POST /_backends/detach", "a"); got != 503 {
		t.Errorf("with the loop held: got %d", got)
	}
	if took := time.Since(start); took < adminOperationTimeout {
		t.Errorf("after %v", took)
	}
	close(release)
	if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
		t.Errorf("then: got %d", got)
	}
}

// From the yes on a detached backend gets nothing, whatever discovery lists; after one call back it serves.
func TestADetachedBackendGetsNothing(t *testing.T) {
	a, b := startBackend(t, says(served, true)), startBackend(t, says(served, true))
	d := startDiscovery(t)
	both := []string{listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)}
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", d.addr, both...)
	p.asks(t, 40)
	if a.requests.Load() == 0 {
		t.Fatal("it was not in use")
	}
	for range 2 {
		if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
			t.Fatalf("detach: %d", got)
		}
	}
	came := a.requests.Load()
	for i, text := range []string{listText(5, true, both...),
		listText(6, false, listed("a", a.addr, discovery.Deleted)), listText(7, false, both[0])} {
		d.say <- text
		waitUntil(t, func() bool { return strings.HasPrefix(wait(t, "call", d.calls), fmt.Sprintf("from=%d&", 5+i)) })
		if ok := p.asks(t, 40); ok != 40 || a.requests.Load() != came {
			t.Errorf("%s: %d served, %d requests to it", text, ok, a.requests.Load()-came)
		}
	}
	if got := operate(t, p, "POST /_backends/attach", "a"); got != 200 {
		t.Fatalf("attach: %d", got)
	}
	waitUntil(t, func() bool { p.asks(t, 10); return a.requests.Load() > came })
}

// Lame duck: health says no at once, clients keep their connections for a while, then nobody is held, and nothing
// restarts: off restores all, also in the middle.
func TestLameDuckEmptiesTheProxyAndComesBack(t *testing.T) {
	release := make(chan struct{})
	b := startBackend(t, holds(release))
	p := startWithConsole(t, t.TempDir(), "127.0.0.1:0", startDiscovery(t).addr, listed("a", b.addr, discovery.Serving))
	idle, held := connect(t, p), connect(t, p)
	idle.send(t, look("1", 8000))
	idle.answer(t)
	held.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 2 })
	for range 3 { // on, and off in the middle
		if got := operate(t, p, "POST /_lameduck/on", ""); got != 200 {
			t.Fatalf("on: %d", got)
		}
		if got := p.health(t); got != 503 {
			t.Errorf("health is %d", got)
		}
		if got := operate(t, p, "GET /_ready", ""); got != 200 {
			t.Errorf("ready is %d", got)
		}
		if ok := p.asks(t, 1); ok != 1 {
			t.Error("a new connection is not served")
		}
		if got := operate(t, p, "POST /_lameduck/off", ""); got != 200 {
			t.Fatalf("off: %d", got)
		}
		if got := p.health(t); got != 200 {
			t.Errorf("health is %d", got)
		}
	}
	idle.send(t, look("2", 8000))
	if resp, _ := idle.answer(t); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("back at work: got %s, close %v", resp.Status, resp.Close)
	}
	operate(t, p, "POST /_lameduck/on", "")
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection is held: %v", err)
	}
	close(release)
	if resp, _ := held.answer(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("what was open: got %s, close %v", resp.Status, resp.Close)
	}
	waitUntil(t, func() bool { return p.front.clients.Stats().Open == 0 })
	operate(t, p, "POST /_lameduck/off", "")
	if ok := p.asks(t, 3); ok != 3 || p.health(t) != 200 {
		t.Errorf("back at work: %d of 3 served", ok)
	}
	operate(t, p, "POST /_lameduck/on", "") // SIGTERM in lame duck
	p.stop()
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}

// A new version takes over under load: every request is served whole on whatever connection, new connections go to
// it, bans and lame duck hold at both, and limits are shared while both live.
func TestANewVersionTakesOver(t *testing.T) {
	a, b, c := startBackend(t, says(served, true)), startBackend(t, says(served, true)), startBackend(t, says(served, true))
	d, dir := startDiscovery(t), t.TempDir()
	entries := []string{listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving), listed("c", c.addr, discovery.Serving)}
	old := startWithConsole(t, dir, "127.0.0.1:0", d.addr, entries...)
	before := old.most()
	if got := operate(t, old, "POST /_backends/detach", "a"); got != 200 {
		t.Fatalf("detach: %d", got)
	}
	end := make(chan struct{})
	var load sync.WaitGroup
	for i := range 8 {
		load.Go(func() {
			c := newClient(nil)
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				if c.Conn == nil {
					nc, err := net.Dial("tcp", old.Addr())
					if err != nil {
						t.Errorf("no connection: %v", err)
						return
					}
					_ = nc.SetDeadline(time.Now().Add(patience))
					c = newClient(nc)
				}
				c.send(t, look(fmt.Sprintf("c%d-%d", i, n), 4000))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 { // on a busy machine the rules may refuse
					t.Errorf("client %d, request %d: %v %v", i, n, resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.Close || n%5 == 4 {
					c.Conn.Close()
					c.Conn = nil
				}
				time.Sleep(20 * time.Millisecond) // within the tenant's share
			}
		})
	}
	next := startWithConsole(t, dir, old.Addr(), d.addr, entries...)
	waitUntil(t, func() bool {
		select {
		case <-next.opened:
			return operate(t, next, "GET /_ready", "") == 200
		default:
			return false
		}
	})
	waitUntil(t, func() bool { return old.most() < before && next.most() < before })
	fresh := connect(t, next)
	fresh.send(t, look("new", 4000))
	fresh.answer(t)
	if n := next.front.clients.Stats().Open; n == 0 {
		t.Error("a new connection went to the old process")
	}
	// Either process may be called.
	operate(t, next, "POST /_lameduck/on", "")
	waitUntil(t, func() bool { return old.front.duck.Load() })
	operate(t, old, "POST /_lameduck/off", "")
	waitUntil(t, func() bool { return !next.front.duck.Load() })
	operate(t, next, "POST /_backends/detach", "b")
	waitUntil(t, func() bool { return old.isDetached("b") && old.isDetached("a") && next.isDetached("a") })
	operate(t, old, "POST /_backends/attach", "b")
	waitUntil(t, func() bool { return !next.isDetached("b") })
	old.stop()
	waitUntil(t, func() bool { return old.front.draining.Load() })
	if got := old.Proxy.front.healthy(); !got {
		t.Error("the old process says no while another serves")
	}
	if err := wait(t, "end of the old process", old.done); err != nil {
		t.Error(err)
	}
	close(end)
	load.Wait()
	if next.asks(t, 5) != 5 || next.health(t) != 200 {
		t.Error("the new process does not serve alone")
	}
	waitUntil(t, func() bool { return next.most() == before })
	if n := a.requests.Load(); n != 0 {
		t.Errorf("%d requests to the detached backend", n)
	}
}

// isDetached tells whether the loop has detached a backend.
func (p *running) isDetached(id string) bool {
	got := make(chan bool, 1)
	p.loop.post(func() { got <- p.loop.detached[id] })
	return <-got
}

func (p *running) most() int {
	return p.front.clients.Stats().Max
}

// TestMain is a whole proxy of its own where TestAKillInMidUpgradeLeavesOneWhole starts it so.
func TestMain(m *testing.M) {
	if text := os.Getenv("PROXY_TO_KILL"); text != "" {
		if err := runToBeKilled(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func runToBeKilled(text string) error {
	var cfg Config
	if err := json.Unmarshal([]byte(text), &cfg); err != nil {
		return err
	}
	var err error
	if cfg.Site, err = settings.Decode([]byte(siteText)); err != nil {
		return err
	}
	if cfg.Known, err = discovery.ParseList([]byte(os.Getenv("PROXY_KNOWN"))); err != nil {
		return err
	}
	cfg.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	p, err := New(cfg)
	if err != nil {
		return err
	}
	go func() { <-p.opened; fmt.Println(p.ConsoleAddr()) }()
	return p.Run(context.Background())
}

// A process that is killed takes its locks with it; the other goes on alone, and what operators said is kept.
func TestAKillInMidUpgradeLeavesOneWhole(t *testing.T) {
	a, b := startBackend(t, says(served, true)), startBackend(t, says(served, true))
	d, dir := startDiscovery(t), t.TempDir()
	entries := []string{listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)}
	old := startWithConsole(t, dir, "127.0.0.1:0", d.addr, entries...)
	before := old.most()
	operate(t, old, "POST /_backends/detach", "a")
	cfg, err := json.Marshal(Config{Name: "n0", Listen: old.Addr(), Console: "127.0.0.1:0", TempDir: dir,
		Discovery: d.addr, Seed: 8, Sockets: 400})
	if err != nil {
		t.Fatal(err)
	}
	next := exec.Command(os.Args[0])
	next.Env = append(os.Environ(), "PROXY_TO_KILL="+string(cfg), "PROXY_KNOWN="+listText(1, true, entries...))
	next.Stderr = os.Stderr
	out, err := next.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Process.Kill(); _ = next.Wait() }()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	both := &running{Proxy: old.Proxy}
	resp, err := http.Post("http://"+strings.TrimSpace(line)+"/_backends/detach", "", strings.NewReader("a"))
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the new process says %v, %v", resp, err)
	}
	resp.Body.Close()
	if ok := both.asks(t, 5); ok != 5 || old.front.clients.Stats().Open != 0 {
		t.Errorf("%d of 5 served, %d connections at the old process", ok, old.front.clients.Stats().Open)
	}
	waitUntil(t, func() bool { return old.front.succeeded.Load() && old.most() < before })
	_ = next.Process.Kill()
	waitUntil(t, func() bool { return !old.front.succeeded.Load() && old.most() == before })
	if ok := old.asks(t, 20); ok != 20 || a.requests.Load() != 0 {
		t.Errorf("%d of 20 served, %d to the detached backend", ok, a.requests.Load())
	}
	old.stop()
	waitUntil(t, func() bool { return old.front.draining.Load() })
	if old.front.healthy() {
		t.Error("it ends, has no successor, and says yes")
	}
}

// A damaged state is logged and costs only itself.
func TestADamagedStateIsNoCrash(t *testing.T) {
	for name, text := range map[string]string{"half": `{"version":3,"det`, "other": `[1,2]`, "empty": "",
		"binary": "\x00\x01", "numbers": `{"version":"x"}`, "list": `{"version":1,"detached":{"a":1}}`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "fernlanding-n0.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			b := startBackend(t, says(served, true))
			p := startWithConsole(t, dir, "127.0.0.1:0", startDiscovery(t).addr, listed("a", b.addr, discovery.Serving))
			if ok := p.asks(t, 1); ok != 1 {
				t.Error("not served")
			}
			if got := operate(t, p, "POST /_backends/detach", "a"); got != 200 {
				t.Errorf("detach: %d", got)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil { // while it runs
				t.Fatal(err)
			}
			time.Sleep(2 * stateSyncInterval)
			if !p.isDetached("a") {
				t.Error("the ban is lost")
			}
		})
	}
}

// Bans hold for a process that starts after the other has ended, and a backend put back shortly before is cold.
func TestAStartFindsWhatOperatorsSaid(t *testing.T) {
	a, b := startBackend(t, says(served, true)), startBackend(t, says(served, true))
	d, dir := startDiscovery(t), t.TempDir()
	entries := []string{listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)}
	p := startWithConsole(t, dir, "127.0.0.1:0", d.addr, entries...)
	operate(t, p, "POST /_backends/detach", "a")
	operate(t, p, "POST /_lameduck/on", "")
	p.stop()
	wait(t, "end of Run", p.done)
	p = startWithConsole(t, dir, "127.0.0.1:0", d.addr, entries...)
	if got := p.health(t); got != 503 {
		t.Errorf("health is %d", got)
	}
	if ok := p.asks(t, 20); ok != 20 || a.requests.Load() != 0 {
		t.Errorf("%d of 20 served, %d to the detached backend", ok, a.requests.Load())
	}
}

// A new version begins with what the old one's module had learned, unless that is damaged or old.
func TestANewVersionKnowsWhatTheOldOneLearned(t *testing.T) {
	b := startBackend(t, says(served, true))
	d, dir := startDiscovery(t), t.TempDir()
	entry := listed("a", b.addr, discovery.Serving)
	old := startWithConsole(t, dir, "127.0.0.1:0", d.addr, entry)
	learned := func(p *running) balancer.LearnedState {
		got := make(chan balancer.LearnedState, 1)
		p.loop.post(func() { got <- p.loop.bal.ExportState() })
		return wait(t, "word of the loop", got)
	}
	l := learned(old)
	l.QuotaMultiplier, l.TierLimit = 0.5, 9
	old.loop.post(func() { old.loop.bal.ImportState(l) })
	waitUntil(t, func() bool {
		got, ok, err := old.operatorState.LoadLearned()
		return ok && err == nil && got.QuotaMultiplier == 0.5
	})
	next := startWithConsole(t, dir, old.Addr(), d.addr, entry)
	if got := learned(next); got.QuotaMultiplier != 0.5 || got.TierLimit != 9 {
		t.Errorf("got %+v", got)
	}
	if err := os.WriteFile(filepath.Join(dir, "fernlanding-n0.json.learned"), []byte(`{"at":"now`), 0o600); err != nil {
		t.Fatal(err)
	}
	third := startWithConsole(t, dir, old.Addr(), d.addr, entry)
	if got := learned(third); got.QuotaMultiplier == 0.5 {
		t.Error("damage is learned from")
	}
}

// SIGKILL cut off long answers to requests that the old process had taken late. It takes none on idle connections after
// 0.5 s, and one whose body ends later fails before a long answer begins; one that came in time has its whole answer.
func TestALateRequestGetsNoLongAnswerFromTheOldProcess(t *testing.T) {
	b := startReader(t, func(w io.Writer, r *http.Request, body []byte) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n%s", text(300_000))
	})
	d, dir := startDiscovery(t), t.TempDir()
	entry := listed("a", b.addr, discovery.Serving)
	old := startWithConsole(t, dir, "127.0.0.1:0", d.addr, entry)
	uploads := make([]*client, 2)
	for i := range uploads {
		uploads[i] = connect(t, old)
		uploads[i].send(t, post(fmt.Sprint(i), "Content-Length: 100000")+text(100_000)[:70_000])
	}
	idle := connect(t, old)
	idle.send(t, look("x", 4000))
	idle.answer(t)
	next := startWithConsole(t, dir, old.Addr(), d.addr, entry)
	<-next.opened
	old.stop()
	waitUntil(t, func() bool { return old.front.draining.Load() })
	told := time.Now()
	for i, want := range []int{200, 502} {
		rest := text(100_000)[70_000:]
		uploads[i].send(t, rest[:15_000])
		if want == 502 {
			if _, err := idle.r.ReadByte(); err != io.EOF || time.Since(told) > time.Second {
				t.Errorf("the idle connection: %v after %v", err, time.Since(told))
			}
			time.Sleep(time.Until(told.Add(takenLate + 200*time.Millisecond)))
		}
		uploads[i].send(t, rest[15_000:])
		if resp, _ := uploads[i].answer(t); resp.StatusCode != want {
			t.Errorf("request %d: got %s", i, resp.Status)
		}
	}
	if err := wait(t, "end of Run", old.done); err != nil {
		t.Error(err)
	}
}

// A request whose head comes in pieces was reset when its connection counted as idle meanwhile.
func TestASlowHeadIsNoIdleConnection(t *testing.T) {
	p, _, _ := operated(t)
	kept, fresh := connect(t, p), connect(t, p)
	kept.send(t, look("0", 4000))
	kept.answer(t)
	head := look("1", 4000)
	for _, c := range []*client{kept, fresh} {
		c.send(t, head[:20])
		time.Sleep(20 * time.Millisecond)
	}
	operate(t, p, "POST /_lameduck/on", "")
	time.Sleep(duckAfter + acceptAfter + 200*time.Millisecond)
	for i, c := range []*client{kept, fresh} {
		c.send(t, strings.Replace(head, "Request-Id: 1", fmt.Sprint("Request-Id: s", i), 1)[20:])
		if resp, _ := c.answer(t); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("connection %d: got %s, close %v", i, resp.Status, resp.Close)
		}
	}
}
