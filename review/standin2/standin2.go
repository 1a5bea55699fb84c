// Package standin2 holds the stand-ins of the second review: discovery, backends, clients, and the start of real proxies.
package standin2

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption takes place
	Dir     string // a temporary folder of this run

	root, run string // of the repository; the command of the deploy file
	start     time.Time
	mu        sync.Mutex // guards the fields below
	record    *os.File
	broken    []string
	proxies   []*Proxy
}

// Main runs a case and ends the process with the exit code of the case.
func Main(run func(c *Case) error) {
	os.Exit(mainCode(run))
}

func mainCode(run func(c *Case) error) int {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("ROOT"), run: os.Getenv("RUN"), start: time.Now()}
	var err error
	if c.record, err = os.Create("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.record.Close()
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(c.Dir)
	defer c.killProxies()
	if err := run(c); err != nil {
		c.Log("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if len(c.broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(c.broken), c.broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// Log adds a line to record.txt.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// Path returns a path in the temporary folder.
func (c *Case) Path(name string) string { return filepath.Join(c.Dir, name) }

func (c *Case) killProxies() {
	c.mu.Lock()
	proxies := c.proxies
	c.mu.Unlock()
	for _, p := range proxies {
		_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL)
		<-p.Exited
	}
}

// FreeAddress returns an address of 127.0.0.1 with a free port.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
