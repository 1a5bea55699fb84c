// Package config reads a proxy's configuration from a file, with environment variables for keys that the file lacks,
// and provides immutable snapshots of the part that a reload can change.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"baylock/internal/discovery"
	"baylock/internal/settings"
)

// Environment variables. All but the first two provide the value of a key that is missing or empty in the file.
const (
	FileVariable      = "LB_CONFIG" // path of the configuration file
	tempDirVariable   = "TMPDIR"
	nameVariable      = "LB_NAME"
	listenVariable    = "LB_LISTEN"
	consoleVariable   = "LB_CONSOLE"
	discoveryVariable = "LB_DISCOVERY"
)

const portBits = 16

// Errors that Load returns if a mandatory part of the configuration is missing.
var (
	ErrNoFile     = errors.New(FileVariable + " is not set")
	ErrNoAddress  = errors.New("listen or discovery is missing")
	ErrNoSettings = errors.New("settings is missing")
)

// Config is the configuration of one proxy.
type Config struct {
	Name      string // name of the proxy, which a restart does not change
	Listen    string // host:port for client connections
	Console   string // host:port for operators; empty for no console
	Discovery string // host:port of the discovery service
	TempDir   string // directory that the processes of this proxy share; empty for none
	Seed      uint64 // for random numbers
	Limits    Limits
	Version   string          // identifies the content of limits and settings
	Known     *discovery.List // the last known endpoint list, used until discovery answers; nil if there is none
	Site      *settings.Site  // the decoded settings
}

// CheckReload returns an error if a running process can't replace c with next, because the change needs a restart or
// the discovery address is invalid. NewSnapshot checks the rest.
func (c Config) CheckReload(next Config) error {
	for _, fixed := range []struct{ key, running, next string }{
		{"name", c.Name, next.Name},
		{"listen", c.Listen, next.Listen},
		{"console", c.Console, next.Console},
	} {
		if fixed.running != fixed.next {
			return fmt.Errorf("%s: a change from %q to %q needs a restart", fixed.key, fixed.running, fixed.next)
		}
	}
	_, port, err := net.SplitHostPort(next.Discovery)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, portBits)
	}
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// file is the configuration file. Limits and Settings stay undecoded, because the version is computed from their
// JSON.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Console   string          `json:"console"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    json.RawMessage `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the configuration file that LB_CONFIG names. Its errors name the invalid key and its value.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(FileVariable)
	if path == "" {
		return Config{}, ErrNoFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	f.setMissingFromEnv(getenv)
	if f.Listen == "" || f.Discovery == "" {
		return Config{}, ErrNoAddress
	}
	cfg := Config{Name: f.Name, Listen: f.Listen, Console: f.Console, Discovery: f.Discovery,
		TempDir: getenv(tempDirVariable)}
	if cfg.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if cfg.Limits, err = parseLimits(f.Limits); err != nil {
		return Config{}, fmt.Errorf("limits: %w", err)
	}
	if cfg.Site, err = parseSettings(f.Settings); err != nil {
		return Config{}, err
	}
	if cfg.Version, err = settings.Version(f.Limits, f.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if cfg.Known, err = parseKnown(f.Known); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	return cfg, nil
}

// setMissingFromEnv sets the fields that the file lacks from environment variables.
func (f *file) setMissingFromEnv(getenv func(string) string) {
	for _, field := range []struct {
		value    *string
		variable string
	}{
		{&f.Name, nameVariable},
		{&f.Listen, listenVariable},
		{&f.Console, consoleVariable},
		{&f.Discovery, discoveryVariable},
	} {
		if *field.value == "" {
			*field.value = getenv(field.variable)
		}
	}
}

func parseSettings(data json.RawMessage) (*settings.Site, error) {
	if len(data) == 0 {
		return nil, ErrNoSettings
	}
	site, err := settings.Decode(data)
	if err == nil {
		err = site.ValidateForProxy()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return site, nil
}

// parseKnown decodes the last known endpoint list. It returns nil if the file has none, or null.
func parseKnown(data json.RawMessage) (*discovery.List, error) {
	if len(data) == 0 || string(data) == "null" {
		return nil, nil
	}
	return discovery.ParseList(data)
}
