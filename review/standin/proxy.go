package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Proxy is a process of the project's proxy.
type Proxy struct {
	Address string // for clients
	Console string // for operators; empty if it has none

	c       *Case
	label   string // in the record
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// ProxyOptions are what a proxy is told.
type ProxyOptions struct {
	Label     string // in the record
	Name      string
	Listen    string // a free address if empty
	Console   string // no console if empty
	Discovery string
	Known     List // the list as the proxy last had it
	Settings  map[string]any
	TempDir   string // its $TMPDIR; a new folder if empty
}

// StartProxy starts a proxy with the command `run` of the deploy file, which RUN holds, from the folder ROOT.
func (c *Case) StartProxy(o ProxyOptions) (*Proxy, error) {
	root, run := os.Getenv("ROOT"), os.Getenv("RUN")
	if root == "" || run == "" {
		return nil, fmt.Errorf("ROOT or RUN is not set")
	}
	var err error
	if o.Listen == "" {
		if o.Listen, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	if o.TempDir == "" {
		if o.TempDir, err = os.MkdirTemp(c.Dir, "tmp"); err != nil {
			return nil, err
		}
	}
	config := map[string]any{
		"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  o.Known, "settings": o.Settings,
	}
	if o.Console != "" {
		config["console"] = o.Console
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	file := c.path(o.Label + ".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	p := &Proxy{Address: o.Listen, Console: o.Console, c: c, label: o.Label, exited: make(chan struct{})}
	p.command = exec.Command("/bin/sh", "-c", run)
	p.command.Dir = root
	p.command.Env = append(os.Environ(), "LB_CONFIG="+file, "LB_NAME="+o.Name, "LB_LISTEN="+o.Listen,
		"LB_DISCOVERY="+o.Discovery, "TMPDIR="+o.TempDir)
	log, err := p.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	c.Note("%s: started, for clients at %s", o.Label, o.Listen)
	c.AtEnd(p.Kill)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			c.Note("%s log: %s", o.Label, lines.Text())
		}
		err := p.command.Wait()
		c.Note("%s: ended (%v)", o.Label, err)
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(signal syscall.Signal) {
	p.c.Note("%s: gets signal %q", p.label, signal)
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process and waits for its end. It does nothing if the process has ended.
func (p *Proxy) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited is closed when the process has ended.
func (p *Proxy) Exited() <-chan struct{} { return p.exited }

// WaitUntilHealthy waits until GET /_health answers 200.
func (p *Proxy) WaitUntilHealthy() error {
	return p.waitFor("http://" + p.Address + "/_health")
}

// WaitUntilReady waits until the console says that the process is ready.
func (p *Proxy) WaitUntilReady() error {
	return p.waitFor("http://" + p.Console + "/_ready")
}

func (p *Proxy) waitFor(url string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.c.Note("%s: %s answers 200", p.label, url)
			return nil
		}
	}
	return fmt.Errorf("%s: no 200 from %s", p.label, url)
}

// StartProxyFor starts a proxy whose list names one backend, with an agent that has the same list, and waits until it
// is healthy.
func (c *Case) StartProxyFor(b *Backend) (*Proxy, error) {
	list := List{Index: 1, Snapshot: true, Endpoints: []Endpoint{Serving(b.Name, b.Address)}}
	agent, err := c.StartAgent(list)
	if err != nil {
		return nil, err
	}
	p, err := c.StartProxy(ProxyOptions{Label: "proxy", Name: "n1", Discovery: agent.Address, Known: list,
		Settings: Settings()})
	if err != nil {
		return nil, err
	}
	return p, p.WaitUntilHealthy()
}
