package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const startTimeout = 20 * time.Second

// Proxy is a process of the project's proxy.
type Proxy struct {
	Address string // for clients

	c       *Case
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// StartProxyFor starts a proxy whose list names one backend, with the command `run` of the deploy file. It waits until
// the proxy is healthy.
func (c *Case) StartProxyFor(b *Backend) (*Proxy, error) {
	list := List{Index: 1, Snapshot: true, Endpoints: []Endpoint{
		{Name: b.Name, Address: b.Address, Zone: "town-hall", Type: "intake-std", Status: "SERVING", Weight: 1},
	}}
	discovery, err := c.startAgent(list)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  list, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listen, c: c, exited: make(chan struct{})}
	if err := p.start(config, discovery); err != nil {
		return nil, err
	}
	return p, p.waitUntilHealthy()
}

// start starts the process with a configuration. RUN holds the command, and ROOT the folder to run it from.
func (p *Proxy) start(config []byte, discovery string) error {
	root, run := os.Getenv("ROOT"), os.Getenv("RUN")
	if root == "" || run == "" {
		return errors.New("ROOT or RUN is not set")
	}
	file, temporary := filepath.Join(p.c.dir, "config.json"), filepath.Join(p.c.dir, "tmp")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return err
	}
	p.command = exec.Command("/bin/sh", "-c", run)
	p.command.Dir = root
	p.command.Env = append(os.Environ(), "LB_NAME=n1", "LB_LISTEN="+p.Address, "LB_DISCOVERY="+discovery,
		"LB_CONFIG="+file, "TMPDIR="+temporary)
	log, err := p.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.c.Note("proxy: started, for clients at %s", p.Address)
	p.c.AtEnd(p.Kill)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			p.c.Note("proxy log: %s", lines.Text())
		}
		err := p.command.Wait()
		p.c.Note("proxy: ended (%v)", err)
		close(p.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(signal syscall.Signal) {
	p.c.Note("proxy: gets signal %q", signal)
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

func (p *Proxy) waitUntilHealthy() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.Address + "/_health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.c.Note("proxy: GET /_health answers 200")
			return nil
		}
	}
	return fmt.Errorf("no 200 from GET /_health within %v", startTimeout)
}

// freeAddress returns an address of 127.0.0.1 with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
