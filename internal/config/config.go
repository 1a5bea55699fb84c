// Package config reads a proxy's configuration: the file, the environment that stands in for what the file lacks, and
// the immutable snapshots of the part that a reload can change.
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

// Environment variables. All but the first two stand in for a key that the file lacks.
const (
	FileVariable      = "LB_CONFIG" // path of the configuration file
	tempDirVariable   = "TMPDIR"
	nameVariable      = "LB_NAME"
	listenVariable    = "LB_LISTEN"
	consoleVariable   = "LB_CONSOLE"
	discoveryVariable = "LB_DISCOVERY"
)

const portBits = 16

// Errors of Load for a configuration that lacks what every proxy needs.
var (
	ErrNoFile     = errors.New(FileVariable + " is not set")
	ErrNoAddress  = errors.New("listen or discovery is missing")
	ErrNoSettings = errors.New("settings is missing")
)

// Config is the configuration of one proxy.
type Config struct {
	Name      string // the same after a restart
	Listen    string // host:port where clients connect
	Console   string // host:port where operators call; empty for no console
	Discovery string // host:port of the discovery service
	TempDir   string // folder that the processes of this proxy share; empty for none
	Seed      uint64 // of random numbers
	Limits    Limits
	Version   string          // names the content of limits and settings
	Known     *discovery.List // the endpoint list as last known, or nil
	Site      *settings.Site
}

// CheckReload returns an error where a running process can't replace c with next, before NewSnapshot checks the rest.
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

// file is the configuration file. The bytes of limits and settings are kept, as they make up the version.
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

// Load reads the file that the environment names. Errors name the key at fault and its value.
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
	f.completeFrom(getenv)
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

// completeFrom takes from the environment what the file lacks.
func (f *file) completeFrom(getenv func(string) string) {
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

// parseKnown returns nil where the file has no list, or null.
func parseKnown(data json.RawMessage) (*discovery.List, error) {
	if len(data) == 0 || string(data) == "null" {
		return nil, nil
	}
	return discovery.ParseList(data)
}
