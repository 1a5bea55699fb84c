package standin2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	readyTimeout   = 20 * time.Second
	healthInterval = 20 * time.Millisecond
)

// Class is one class of requests in the settings.
type Class struct {
	Name        string  `json:"name"`
	Repeat      string  `json:"repeat"` // idempotent, deduplicated or at_most_once
	DedupScope  string  `json:"dedup_scope"`
	DedupWindow int     `json:"dedup_window_us"`
	GiveUp      int     `json:"give_up_us"`
	Objective   int     `json:"objective_us"`
	LateShare   float64 `json:"late_share"`
	Worth       float64 `json:"worth"`
	Stream      bool    `json:"stream"`
}

// Ticket and Meter are the classes of larissa-main, in the figures of its settings.
var (
	Ticket = Class{Name: "ticket", Repeat: "at_most_once", DedupScope: "all", DedupWindow: 5e6, GiveUp: 4e6, Objective: 1.5e6,
		LateShare: 0.25, Worth: 3}
	Meter = Class{Name: "meter", Repeat: "deduplicated", DedupScope: "cell", DedupWindow: 7.5e6, GiveUp: 5e6, Objective: 2e6,
		LateShare: 0.25, Worth: 10}
)

// Config is the configuration of one proxy.
type Config struct {
	Name, Listen, Discovery string
	Known                   *List // nil for none
	MemoryMB, Sockets       int
	Ordinal, Siblings       int
	Membership              string // automatic or subscribe
	DrainGraceUs            int
	Zone                    int
	Classes                 []Class
	Tenants                 []map[string]any
}

func (c Config) json() ([]byte, error) {
	config := map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"settings": map[string]any{
			"blend":   map[string]any{"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.35},
			"clients": map[string]any{"marks_retry": true},
			"contract": map[string]any{"answer_slack_us": 20000, "ask_every_us": 10000000, "cold_us": 8400000,
				"drain_grace_us": c.DrainGraceUs, "fall_us": 1000000, "start_capacity": 0.31, "tip_multiple": 3.0},
			"counted_by":      "request",
			"extra":           map[string]any{"passes_deadline": true},
			"failure_domains": []string{"town-hall", "pump-station", "depot"},
			"kinds":           []string{"intake-std"},
			"limits": map[string]any{"cancelling": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
				"dial_timeout_us": 250000, "idle_close_us": 30000000, "max_retry_after_us": 2000000, "most_held": 20000,
				"peers": false, "probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 1,
				"try_limit": 4},
			"membership_mode": c.Membership, "my_zone": c.Zone, "ordinal": c.Ordinal, "over_share_worth": 0.2,
			"period_us": 5000, "profiles": c.Classes, "report": map[string]any{"fields": []string{"waiting", "rps"},
				"how": "on_probe"},
			"service_type": "chain", "siblings": c.Siblings, "stage": 0, "tenants": c.Tenants,
			"tiers": []string{"intake", "transcribe"}, "weights": "off",
		},
	}
	if c.Known != nil {
		config["known"] = c.Known
	}
	return json.Marshal(config)
}

// Proxy is a process of a proxy.
type Proxy struct {
	Config  Config
	Address string
	Exited  chan struct{} // closed when the process has ended

	command *exec.Cmd
}

// StartProxy starts a process with the command of the deploy file. Its log goes to the record. tempDir is its $TMPDIR.
func (c *Case) StartProxy(config Config, file, tempDir string) (*Proxy, error) {
	data, err := config.json()
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(tempDir, 0o700); err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", c.run)
	command.Dir = c.root
	command.Env = append(os.Environ(), "LB_CONFIG="+file, "TMPDIR="+tempDir, "LB_NAME="+config.Name,
		"LB_LISTEN="+config.Listen, "LB_DISCOVERY="+config.Discovery)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	log := &logWriter{c: c, name: config.Name}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Proxy{Config: config, Address: config.Listen, Exited: make(chan struct{}), command: command}
	go func() {
		err := command.Wait()
		c.Log("proxy %s ended: %v", config.Name, err)
		close(p.Exited)
	}()
	c.mu.Lock()
	c.proxies = append(c.proxies, p)
	c.mu.Unlock()
	return p, nil
}

// Pid returns the process id.
func (p *Proxy) Pid() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) error { return syscall.Kill(p.Pid(), s) }

// HasExited reports whether the process has ended.
func (p *Proxy) HasExited() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// WaitHealthy waits until the proxy answers its health check with 200.
func (p *Proxy) WaitHealthy() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(healthInterval) {
		if p.HasExited() {
			return fmt.Errorf("proxy %s has ended", p.Config.Name)
		}
		response, err := client.Get("http://" + p.Address + "/_health")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("proxy %s is not healthy in time", p.Config.Name)
}

// logWriter copies the log of a proxy to the record.
type logWriter struct {
	c    *Case
	name string
}

func (w *logWriter) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		w.c.Log("log of %s: %s", w.name, strings.TrimSpace(line))
	}
	return len(b), nil
}
