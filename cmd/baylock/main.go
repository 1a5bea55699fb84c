// Command baylock is one real proxy: it balances calls to the backends of a tier.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"baylock/internal/discovery"
	"baylock/internal/proxy"
	"baylock/internal/settings"
)

const defaultSockets = 1024

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "baylock: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	// Caught before all else and to the end: unhandled, either would end the process with what it holds.
	hups := make(chan os.Signal, 1) // one more than the one being handled: the file is read after the last
	signal.Notify(hups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg.Log = log
	p, err := proxy.New(cfg)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hups:
				reload(os.Getenv, p.Reload, log)
			case <-ended:
				return
			}
		}
	}()
	return p.Run(ctx)
}

// reload reads the configuration again after SIGHUP and has the proxy take it. One that is refused changes nothing and
// is one line in the log.
func reload(env func(string) string, take func(proxy.Config) error, log *slog.Logger) {
	cfg, err := load(env)
	if err == nil {
		err = take(cfg)
	}
	if err != nil {
		log.Error("new configuration not taken", "error", err)
	}
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// load reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN, LB_CONSOLE and LB_DISCOVERY stand in for what it lacks.
func load(env func(string) string) (proxy.Config, error) {
	var cfg proxy.Config
	path := env("LB_CONFIG")
	if path == "" {
		return cfg, errors.New("LB_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Console   string          `json:"console"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    json.RawMessage `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	cfg.Listen, cfg.Discovery = file.Listen, file.Discovery
	cfg.Name, cfg.Console, cfg.TempDir = file.Name, file.Console, env("TMPDIR")
	if cfg.Name == "" {
		cfg.Name = env("LB_NAME")
	}
	if cfg.Console == "" {
		cfg.Console = env("LB_CONSOLE")
	}
	if cfg.Listen == "" {
		cfg.Listen = env("LB_LISTEN")
	}
	if cfg.Discovery == "" {
		cfg.Discovery = env("LB_DISCOVERY")
	}
	if cfg.Listen == "" || cfg.Discovery == "" {
		return cfg, errors.New("listen or discovery is missing")
	}
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return cfg, fmt.Errorf("seed: %w", err)
	}
	if err := takeLimits(&cfg, file.Limits); err != nil {
		return cfg, fmt.Errorf("limits: %w", err)
	}
	if len(file.Settings) == 0 {
		return cfg, errors.New("settings is missing")
	}
	if cfg.Site, err = settings.Decode(file.Settings); err == nil {
		err = cfg.Site.CheckSockets()
	}
	if err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if cfg.Version, err = settings.Version(file.Limits, file.Settings); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if cfg.Known, err = discovery.ParseList(file.Known); err != nil {
			return cfg, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, nil
}

// takeLimits reads what the process may use; data may be empty.
func takeLimits(cfg *proxy.Config, data json.RawMessage) error {
	var l limits
	if len(data) > 0 {
		if err := json.Unmarshal(data, &l); err != nil {
			return err
		}
	}
	if l.Sockets < 0 || l.Cores < 0 || l.MemoryMB < 0 {
		return errors.New("negative")
	}
	cfg.Sockets, cfg.MemoryMB, cfg.Cores = l.Sockets, l.MemoryMB, l.Cores
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultSockets
	}
	return nil
}
