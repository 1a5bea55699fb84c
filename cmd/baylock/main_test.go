package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"baylock/internal/config"
	"baylock/internal/proxy"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// startProxy starts a proxy with the configuration in a file. The proxy is stopped when the test ends.
func startProxy(t *testing.T, path string, log *slog.Logger) *proxy.Proxy {
	t.Helper()
	cfg, err := config.Load(environment(path))
	if err != nil {
		t.Fatal(err)
	}
	p, err := proxy.New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

// environment returns a getenv function for an environment that sets only LB_CONFIG.
func environment(path string) func(string) string {
	return func(name string) string {
		if name == "LB_CONFIG" {
			return path
		}
		return ""
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A reload reads the file again. If the configuration is invalid, or differs in what can't change while the proxy runs, the
// reload logs one line and changes nothing.
func TestReloadAppliesOrRejectsConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, validFile)
	var logged settingsLog
	log := slog.New(slog.NewTextHandler(&logged, nil))
	p := startProxy(t, path, log)
	var addresses []string
	apply := func(cfg config.Config) error {
		err := p.Reload(cfg)
		if err == nil {
			addresses = append(addresses, cfg.Discovery)
		}
		return err
	}
	for i, c := range []struct{ name, old, new, rejection string }{
		{"unchanged", validFile, validFile, ""},
		{"incomplete", validFile, validFile[:99], "unexpected end"},
		{"empty", validFile, "", "unexpected end"},
		{"discovery without port", "127.0.0.1:1", "nowhere", "discovery"},
		{"discovery port not numeric", "127.0.0.1:1", "127.0.0.1:port", "discovery"},
		{"listen", "127.0.0.1:0", "127.0.0.1:9", "listen"},
		{"name", `"n3"`, `"n4"`, "name"},
		{"no replica", `"siblings":1`, `"siblings":0`, "Replicas"},
		{"tier", `"siblings":1`, `"siblings":1,"stage":1`, "Tier: a change needs a restart"},
		{"subscription", `"automatic"`, `"subscribe"`, "MaxPollInterval"},
		{"too few sockets", `"sockets":512`, `"sockets":40`, "sockets are too few"},
		{"discovery", "127.0.0.1:1", "127.0.0.1:2", ""},
		{"replicas", `"siblings":1`, `"siblings":2`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			writeFile(t, path, strings.Replace(validFile, c.old, c.new, 1))
			reload(environment(path), apply, log)
			lines := logged.lines()
			if len(lines) != 2+i { // one line is logged at the start
				t.Fatalf("logged %q, want one more line than before the reload", lines)
			}
			line := lines[len(lines)-1]
			if rejected := strings.Contains(line, "not taken"); rejected != (c.rejection != "") || !strings.Contains(line, c.rejection) {
				t.Errorf("logged %q, want the outcome of the case", line)
			}
		})
	}
	if want := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"}; !slices.Equal(addresses, want) {
		t.Errorf("discovery addresses %q, want one for each accepted configuration", addresses)
	}
	lines := logged.lines()
	// docs/oncall.md tells operators how to compute these versions from the two files.
	if first, last := lines[0], lines[len(lines)-1]; !strings.Contains(first, "version=d693ccca0c79 ") ||
		!strings.Contains(last, "version=344e844e1259 ") {
		t.Errorf("the first line is %q, the last one %q; want other settings versions", first, last)
	}
}

// This test covers a reload from the signal to the responses that clients get. After several signals the last file is in
// force.
func TestRunReloadsFileOnSIGHUP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(validFile, "127.0.0.1:0", addr, 1)
	writeFile(t, path, text)
	t.Setenv("LB_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	// classKnown reports whether the proxy knows a class. It responds with 400 to an unknown one.
	classKnown := func(class string) bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/"+class+"/k", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Request-Id", "1")
		req.Header.Set("Request-Class", class)
		req.Header.Set("Request-Timeout-Ms", "1000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusBadRequest
	}
	waitUntil := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s", what)
			}
		}
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil("the proxy serves", func() bool { return classKnown("look") })
	if classKnown("c9") {
		t.Error("a class that is in no file yet is known")
	}
	for i := range 10 {
		writeFile(t, path, strings.Replace(text, `"name":"look"`, fmt.Sprintf(`"name":"c%d"`, i), 1))
		signal(syscall.SIGHUP)
	}
	waitUntil("the last file is in force", func() bool { return classKnown("c9") })
	if classKnown("look") || classKnown("c8") {
		t.Error("a class of an earlier file is known")
	}
	signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

const testTimeout = 20 * time.Second

// settingsLog collects the log lines about loaded and rejected configurations.
type settingsLog struct {
	mu        sync.Mutex
	collected []string
}

func (l *settingsLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text := string(line); strings.Contains(text, "settings in force") || strings.Contains(text, "not taken") {
		l.collected = append(l.collected, text)
	}
	return len(line), nil
}

func (l *settingsLog) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.collected)
}
