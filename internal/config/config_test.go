package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":{"index":4,"snapshot":true,"endpoints":[]},` +
	`"later":1,"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,` +
	`"try_limit":3},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,` +
	`"repeat":"idempotent","worth":1}],"siblings":1}}`

// loadText writes a file with this content and loads it, with environment as the other environment variables.
func loadText(t *testing.T, text string, environment map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "LB_CONFIG" {
			return path
		}
		return environment[name]
	})
}

func TestLoadReadsFile(t *testing.T) {
	got, err := loadText(t, validFile, map[string]string{"TMPDIR": "/t", "LB_LISTEN": "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "n3" || got.Listen != "127.0.0.1:0" || got.Console != "" || got.Discovery != "127.0.0.1:1" ||
		got.TempDir != "/t" || got.Seed != 0x8c1f30d27a5be964 || got.Limits != (Limits{512, 192, 1}) ||
		got.Version != "d693ccca0c79" || got.Known == nil || got.Known.Index != 4 || len(got.Site.Classes) != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestLoadTakesMissingKeysFromEnvironment(t *testing.T) {
	environment := map[string]string{"LB_NAME": "n9", "LB_LISTEN": "127.0.0.1:9", "LB_CONSOLE": "127.0.0.1:8",
		"LB_DISCOVERY": "127.0.0.1:7"}
	for name, c := range map[string]struct {
		key  string
		get  func(Config) string
		want string
	}{
		"name":      {`"name":"n3",`, func(c Config) string { return c.Name }, "n9"},
		"listen":    {`"listen":"127.0.0.1:0",`, func(c Config) string { return c.Listen }, "127.0.0.1:9"},
		"console":   {``, func(c Config) string { return c.Console }, "127.0.0.1:8"},
		"discovery": {`"discovery":"127.0.0.1:1",`, func(c Config) string { return c.Discovery }, "127.0.0.1:7"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := loadText(t, strings.Replace(validFile, c.key, "", 1), environment)
			if err != nil || c.get(cfg) != c.want {
				t.Errorf("got %q, %v", c.get(cfg), err)
			}
		})
	}
}

func TestLoadUsesDefaultSocketsWithoutLimit(t *testing.T) {
	cfg, err := loadText(t, strings.Replace(validFile, `"sockets":512`, `"sockets":0`, 1), nil)
	if err != nil || cfg.Limits.Sockets != 1024 {
		t.Errorf("got %d sockets, %v; want 1024", cfg.Limits.Sockets, err)
	}
}

// Each error is one line that names the invalid key, and its value if it has one.
func TestLoadRejectsInvalidFile(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validFile, ``, "unexpected end"},
		{`"listen":"127.0.0.1:0",`, ``, "listen or discovery"},
		{`8c1f30d27a5be964`, `sesame`, `seed: strconv.ParseUint: parsing "sesame"`},
		{`"sockets":512`, `"sockets":-1`, "limits: sockets: -1 is negative"},
		{`"memory_mb":192`, `"memory_mb":-0.5`, "limits: memory_mb: -0.5 is negative"},
		{`"cores":1.0`, `"cores":-2`, "limits: cores: -2 is negative"},
		{`"sockets":512`, `"sockets":"many"`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{}]`, "known"},
		{`"name":"look",`, ``, "profiles[0].name"},
		{`"settings"`, `"setting"`, "settings is missing"},
		{`"automatic"`, `"never"`, "membership_mode"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := loadText(t, strings.Replace(validFile, c.old, c.new, 1), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestLoadReturnsSentinelErrors(t *testing.T) {
	if _, err := Load(func(string) string { return "" }); !errors.Is(err, ErrNoFile) {
		t.Errorf("no file: got %v", err)
	}
	if _, err := loadText(t, `{}`, nil); !errors.Is(err, ErrNoAddress) {
		t.Errorf("no address: got %v", err)
	}
	if _, err := loadText(t, strings.Replace(validFile, `"settings"`, `"setting"`, 1), nil); !errors.Is(err, ErrNoSettings) {
		t.Errorf("no settings: got %v", err)
	}
}

func TestCheckReloadRejectsChangesThatNeedRestart(t *testing.T) {
	running := Config{Name: "n", Listen: "l", Console: "c", Discovery: "127.0.0.1:1", Seed: 1}
	for name, c := range map[string]struct {
		edit func(*Config)
		want string // prefix of the error; empty for none
	}{
		"nothing changed":   {func(*Config) {}, ""},
		"seed":              {func(c *Config) { c.Seed = 2 }, ""},
		"discovery":         {func(c *Config) { c.Discovery = "127.0.0.1:2" }, ""},
		"name":              {func(c *Config) { c.Name = "m" }, `name: a change from "n" to "m" needs a restart`},
		"listen":            {func(c *Config) { c.Listen = "m" }, `listen: a change from "l" to "m" needs a restart`},
		"console":           {func(c *Config) { c.Console = "" }, `console: a change from "c" to "" needs a restart`},
		"discovery no port": {func(c *Config) { c.Discovery = "nowhere" }, "discovery: "},
		"discovery no int":  {func(c *Config) { c.Discovery = "127.0.0.1:port" }, "discovery: "},
		"discovery too big": {func(c *Config) { c.Discovery = "127.0.0.1:65536" }, "discovery: "},
	} {
		t.Run(name, func(t *testing.T) {
			next := running
			c.edit(&next)
			err := running.CheckReload(next)
			if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestLimitsDivideSockets(t *testing.T) {
	for _, c := range []struct {
		sockets, clients, backends int
		tooFew                     bool
	}{
		{1024, 538, 454, false},
		{512, 254, 226, false},
		{256, 111, 113, false},
		{71, 9, 30, false},
		{40, -9, 17, true},
	} {
		limits := Limits{Sockets: c.sockets}
		clients, backends := limits.Connections()
		if clients != c.clients || backends != c.backends || (limits.check() != nil) != c.tooFew ||
			limits.ClientConnections() != max(clients, 8) {
			t.Errorf("%d sockets: %d for clients, %d for backends, %v", c.sockets, clients, backends, limits.check())
		}
	}
	if got := (Limits{Sockets: 1001, MemoryMB: 33, Cores: 0.5}).Halved(); got != (Limits{500, 16.5, 0.5}) {
		t.Errorf("halved: %+v", got)
	}
}
