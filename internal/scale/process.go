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

const logTailBytes = 8 << 10 // of the end of a process's output, for errors

// ErrProcessEnded reports that a process has ended.
var ErrProcessEnded = errors.New("the process has ended")

// Program is a program to start.
type Program struct {
	Path  string
	Args  []string
	Env   []string  // "NAME=value", in addition to the tool's own
	Dir   string    // working directory; empty: the tool's
	Cores []int     // that it may use; empty: those of the tool
	Log   io.Writer // receives its output; may be nil
}

// Process is a process that the run has started. It is killed when the tool dies for whatever reason, and stopped
// when the context of its start ends.
type Process struct {
	budget  *Budget
	command *exec.Cmd
	started time.Time
	tail    *tail
	ended   chan struct{} // closed once it has ended and is returned to the budget
	err     error         // of its exit; set before ended is closed
}

// StartProgram starts a program as a process of the run.
func StartProgram(ctx context.Context, env Env, program Program) (*Process, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	if err := env.Budget.AcquireProcess(ctx); err != nil {
		return nil, err
	}
	p := &Process{budget: env.Budget, tail: &tail{next: program.Log}, ended: make(chan struct{})}
	p.command = exec.Command(program.Path, program.Args...)
	p.command.Dir = program.Dir
	p.command.Env = append(os.Environ(), program.Env...)
	p.command.Stdout, p.command.Stderr = p.tail, p.tail
	p.command.WaitDelay = time.Second // for output that its own children hold open
	// A process group of its own, so that Ctrl-C on a terminal goes to the tool alone, which stops its processes in
	// order.
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

// reap waits until the process has ended.
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

// Err returns how the process ended, with the last line of its output; nil if it exited with 0. To be called after
// Ended.
func (p *Process) Err() error {
	if p.err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w: %s", p.command.Path, p.err, p.tail.lastLine())
}

// Signal sends a signal. Its error is ErrProcessEnded if the process has ended.
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

// Usage returns the resource usage of the process. Its error is ErrProcessEnded if the process has ended.
func (p *Process) Usage() (Usage, error) {
	usage, err := processUsage(p.PID())
	select {
	case <-p.ended: // the ID may belong to another process by now
		return Usage{}, ErrProcessEnded
	default:
	}
	if isGone(err) {
		return Usage{}, ErrProcessEnded
	}
	return usage, err
}

// startJobs returns the jobs of the one thread that starts all processes.
var startJobs = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		// The kernel sends Pdeathsig when the thread that started the child ends, so this one never does. A child
		// inherits the cores of this thread.
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

func start(command *exec.Cmd, cores []int) error {
	result := make(chan error)
	startJobs() <- func() { result <- startOn(command, cores) }
	return <-result
}

// startOn starts a command on the given cores, or on those of the tool if there are none. It is called on the thread of
// startJobs alone.
func startOn(command *exec.Cmd, cores []int) error {
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

// tail is a writer that keeps the end of the output and forwards all of it.
type tail struct {
	mu     sync.Mutex // guards buffer
	next   io.Writer
	buffer []byte
}

// Write never fails, as an error would break the output of the process.
func (t *tail) Write(data []byte) (int, error) {
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

func (t *tail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := bytes.Split(bytes.TrimSpace(t.buffer), []byte("\n"))
	return string(lines[len(lines)-1])
}
