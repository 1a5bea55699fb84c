// Command start checks that the proxy starts and shuts down. It starts the proxy with the command in the environment
// variable CI_RUN, with a known endpoint list and no discovery service; waits until it is healthy, also after SIGHUP;
// and stops it with SIGTERM and another SIGHUP.
package main

import (
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

// configFormat is the format string of the proxy's configuration. Its argument is the listen address.
const configFormat = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":192,` +
	`"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","zone":"a",` +
	`"status":"SERVING","since_ms":0}]},"settings":{"contract":{},"failure_domains":["a"],"limits":{` +
	`"dial_timeout_us":100000,"idle_close_us":1000000,"try_limit":2},"membership_mode":"automatic","profiles":[{` +
	`"give_up_us":1000000,"name":"look","objective_us":500000,"repeat":"idempotent","worth":1}],"siblings":1}}`

const (
	timeout        = 30 * time.Second // for the start and for the shutdown
	healthInterval = 20 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, also after SIGHUP, and ends on SIGTERM")
}

func run() error {
	dir, err := os.MkdirTemp("", "start")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	p, err := startProxy(dir)
	if err != nil {
		return err
	}
	defer func() { _ = p.command.Process.Kill() }() // it has already ended unless a check failed
	if err := p.waitUntilHealthy(); err != nil {
		return err
	}
	if err := p.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP); err != nil {
		return err
	}
	if !p.healthy() {
		return errors.New("the proxy is not healthy after SIGHUP")
	}
	if err := p.signal(syscall.SIGTERM, syscall.SIGHUP); err != nil {
		return err
	}
	return p.waitForExit()
}

// proxy is a started process of the proxy.
type proxy struct {
	command *exec.Cmd
	address string     // host:port for clients
	exited  chan error // receives the result of exec.Cmd.Wait once the process has exited
}

// startProxy writes the proxy's configuration file to a directory and starts the proxy with it.
func startProxy(dir string) (*proxy, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, configFormat, address), 0o600); err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", os.Getenv("CI_RUN"))
	command.Env = append(os.Environ(), "LB_CONFIG="+config)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &proxy{command: command, address: address, exited: make(chan error, 1)}
	go func() { p.exited <- command.Wait() }()
	return p, nil
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

func (p *proxy) waitUntilHealthy() error {
	for deadline := time.Now().Add(timeout); !p.healthy(); time.Sleep(healthInterval) {
		select {
		case err := <-p.exited:
			return fmt.Errorf("the proxy exited before it was healthy: %v", err)
		default:
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the proxy is not healthy after %v", timeout)
		}
	}
	return nil
}

func (p *proxy) healthy() bool {
	response, err := http.Get("http://" + p.address + "/_health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *proxy) signal(signals ...os.Signal) error {
	for _, signal := range signals {
		if err := p.command.Process.Signal(signal); err != nil {
			return fmt.Errorf("send signal %v: %w", signal, err)
		}
	}
	return nil
}

// waitForExit returns an error unless the proxy exits with status 0 within timeout.
func (p *proxy) waitForExit() error {
	select {
	case err := <-p.exited:
		return err
	case <-time.After(timeout):
		return fmt.Errorf("the proxy still runs %v after SIGTERM", timeout)
	}
}
