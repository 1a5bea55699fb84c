// Package standin holds what the cases of the review share: the record, the start of the project's proxy as the deploy
// file says, and stand-ins for the discovery agent, backends and clients. All of them use loopback addresses only.
package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool // with the disruption

	dir string // temporary folder, removed at the end

	start   time.Time
	mu      sync.Mutex // guards the fields below
	record  *os.File
	cleanup []func()
}

// Run runs a case and exits. check returns whether the rule held; an error means that the case could not run.
func Run(check func(*Case) (held bool, err error)) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	code := c.run(check)
	os.Exit(code)
}

func (c *Case) run(check func(*Case) (bool, error)) int {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	c.record = record
	defer record.Close()
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		c.Note("cannot run: %v", err)
		return NotRun
	}
	defer os.RemoveAll(c.dir)
	defer c.end()
	c.Note("disruption: %v", c.Trouble)

	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		held, err := check(c)
		done <- outcome{held, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	var result outcome
	select {
	case result = <-done:
	case <-ended:
		result.err = errors.New("the case was ended from outside")
	case <-time.After(limit):
		result.err = errors.New("the time of the case is over")
	}
	switch {
	case result.err != nil:
		c.Note("cannot run: %v", result.err)
		return NotRun
	case !result.held:
		c.Note("result: the rule was BROKEN")
		return Broken
	}
	c.Note("result: the rule held")
	return Held
}

// Note writes a line to the record and to standard output, with the time since the start of the case.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// AtEnd adds a function that runs when the case ends, before those that were added earlier.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

func (c *Case) end() {
	c.mu.Lock()
	cleanup := c.cleanup
	c.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
}
