package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time between SIGTERM and SIGKILL.
const stopTimeout = 3 * time.Second

const logTailBytes = 8 << 10 // number of bytes kept from the end of a process's output, for error messages

// ErrProcessEnded reports that a process has ended.
var ErrProcessEnded = errors.New("the process has ended")

// Program configures a program for StartProgram.
type Program struct {
	Path  string
	Args  []string
	Env   []string  // "NAME=value", in addition to the tool's own
	Dir   string    // working directory; empty: the tool's
	Cores []int     // cores that it may use; empty: those of the tool
	Log   io.Writer // receives its output; may be nil
}

// Process is a process that the run has started. The kernel kills it if the tool ends for any reason. It is stopped
// when the context that was given to StartProgram ends.
type Process struct {
	budget  *Budget
	command *exec.Cmd
	started time.Time
	output  *tailWriter
	ended   chan struct{} // closed once the process has ended and has been released from the budget
	err     error         // result of waiting for the process; set before ended is closed
}

// StartProgram starts a program as a process of the run. It returns a *LimitError if the budget has no process left.
func StartProgram(ctx context.Context, env Env, program Program) (*Process, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	if err := env.Budget.AcquireProcess(ctx); err != nil {
		return nil, err
	}
	p := &Process{budget: env.Budget, output: &tailWriter{next: program.Log}, ended: make(chan struct{})}
	p.command = exec.Command(program.Path, program.Args...)
	p.command.Dir = program.Dir
	p.command.Env = append(os.Environ(), program.Env...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	p.command.WaitDelay = time.Second // limits the wait for output pipes that the program's own children keep open
	// The process gets its own process group, so that only the tool receives the SIGINT of Ctrl-C on a terminal. The
	// tool then stops its processes in an orderly way.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p.started = time.Now()
	if err := start(p.command, program.Cores); err != nil {
		env.Budget.ReleaseProcess()
		return nil, fmt.Errorf("start %s: %w", program.Path, err)
	}
	env.Budget.add(p)
	go p.reap()
	go func() {
		select {
		case <-ctx.Done():
			p.Stop()
		case <-p.ended:
		}
	}()
	return p, nil
}

// reap waits until the process has ended and releases it from the budget.
func (p *Process) reap() {
	p.err = p.command.Wait()
	p.budget.remove(p)
	p.budget.ReleaseProcess()
	close(p.ended)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns an error that describes how the process ended, with the last line of its output, or nil if it exited with
// status 0. It may be called only after the channel that Ended returns is closed.
func (p *Process) Err() error {
	if p.err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w: %s", p.command.Path, p.err, p.output.lastLine())
}

// Signal sends a signal. It returns ErrProcessEnded if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return ErrProcessEnded
	}
	return err
}

// Stop ends the process with SIGTERM, and after 3 s with SIGKILL. It returns once the process has ended.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // it may have ended already
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// Kill ends the process with SIGKILL. It returns once the process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Usage returns the resource usage of the process. It returns ErrProcessEnded if the process has ended.
func (p *Process) Usage() (Usage, error) {
	usage, err := processUsage(p.PID())
	select {
	case <-p.ended: // the ID may belong to another process by now
		return Usage{}, ErrProcessEnded
	default:
	}
	if isProcessGone(err) {
		return Usage{}, ErrProcessEnded
	}
	return usage, err
}

// startJobs returns a channel of functions to run on the one thread that starts all processes.
var startJobs = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		// The kernel sends Pdeathsig when the thread that started the child ends, so this thread must never end. A child
		// inherits the CPU affinity of this thread.
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// start starts a command with startOnThisThread, on the thread of startJobs.
func start(command *exec.Cmd, cores []int) error {
	result := make(chan error)
	startJobs() <- func() { result <- startOnThisThread(command, cores) }
	return <-result
}

// startOnThisThread starts a command restricted to the given cores, or to those of the tool if none are given. It must
// be called only on the thread of startJobs, whose CPU affinity it changes for the start.
func startOnThisThread(command *exec.Cmd, cores []int) error {
	if len(cores) == 0 {
		return command.Start()
	}
	own, err := threadMask(0)
	if err != nil {
		return err
	}
	mask, err := maskOf(cores)
	if err != nil {
		return err
	}
	if err := setThreadMask(0, mask); err != nil {
		return err
	}
	return errors.Join(command.Start(), setThreadMask(0, own))
}

// tailWriter forwards everything written to it and keeps the last logTailBytes of it.
type tailWriter struct {
	mu     sync.Mutex // guards buffer
	next   io.Writer  // may be nil
	buffer []byte
}

// Write never returns an error, because that would end the copying of the process's output.
func (t *tailWriter) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next != nil {
		_, _ = t.next.Write(data)
	}
	t.buffer = append(t.buffer, data...)
	if surplus := len(t.buffer) - logTailBytes; surplus > 0 {
		t.buffer = append(t.buffer[:0], t.buffer[surplus:]...)
	}
	return len(data), nil
}

func (t *tailWriter) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := bytes.Split(bytes.TrimSpace(t.buffer), []byte("\n"))
	return string(lines[len(lines)-1])
}
