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

// stopPatience is how long a process has after SIGTERM before it is killed.
const stopPatience = 3 * time.Second

const keptLog = 8 << 10 // of the end of a process's output, for errors

// ErrEnded says that a process has ended.
var ErrEnded = errors.New("the process has ended")

// Program is a program to start.
type Program struct {
	Path  string
	Args  []string
	Env   []string  // "NAME=value", in addition to the tool's own
	Dir   string    // its working folder; empty: the tool's
	Cores []int     // on which it may run; empty: those of the tool
	Log   io.Writer // takes its output; may be nil
}

// Process is a process that the run has started. It is killed when the tool dies, however that happens, and it ends at
// the latest when the context of its start does.
type Process struct {
	budget  *Budget
	command *exec.Cmd
	started time.Time
	tail    *tail
	ended   chan struct{} // closed once it has ended and its place is given back
	err     error         // of its end; set before ended is closed
}

// StartProgram starts a program as a process of the run.
func StartProgram(ctx context.Context, env Env, program Program) (*Process, error) {
	if err := ctx.Err(); err != nil {
		return nil, context.Cause(ctx)
	}
	if err := env.Budget.StartProcess(ctx); err != nil {
		return nil, err
	}
	p := &Process{budget: env.Budget, tail: &tail{next: program.Log}, ended: make(chan struct{})}
	p.command = exec.Command(program.Path, program.Args...)
	p.command.Dir = program.Dir
	p.command.Env = append(os.Environ(), program.Env...)
	p.command.Stdout, p.command.Stderr = p.tail, p.tail
	p.command.WaitDelay = time.Second // for output that a child of its own still holds open
	// A group of its own: what a terminal sends on Ctrl-C goes to the tool, which ends its processes in order.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p.started = time.Now()
	if err := start(p.command, program.Cores); err != nil {
		env.Budget.EndProcess()
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

// reap waits for the end of the process.
func (p *Process) reap() {
	p.err = p.command.Wait()
	p.budget.remove(p)
	p.budget.EndProcess()
	close(p.ended)
}

// PID is its process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err tells how the process ended, with the end of its output; nil if it exited with 0. Call it after Ended.
func (p *Process) Err() error {
	if p.err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w: %s", p.command.Path, p.err, p.tail.lastLine())
}

// Signal sends a signal, or returns ErrEnded.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return ErrEnded
	}
	return err
}

// Stop ends the process with SIGTERM, and with SIGKILL if it takes longer than 3 s. It returns once it is gone.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // ErrEnded is as good
	select {
	case <-p.ended:
	case <-time.After(stopPatience):
		p.Kill()
	}
}

// Kill ends the process with SIGKILL and returns once it is gone.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Usage tells what the process has used, or returns ErrEnded.
func (p *Process) Usage() (Usage, error) {
	usage, err := processUsage(p.PID())
	select {
	case <-p.ended: // the id may be another process's by now
		return Usage{}, ErrEnded
	default:
	}
	if gone(err) {
		return Usage{}, ErrEnded
	}
	return usage, err
}

// starts takes the starts of processes to the one thread that makes them all.
var starts = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		// The kernel sends the signal of a parent's death when the thread that started the child ends, so this one
		// never does. It also lends its set of cores to each child.
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

func start(command *exec.Cmd, cores []int) error {
	result := make(chan error)
	starts() <- func() { result <- startOn(command, cores) }
	return <-result
}

// startOn starts a command on these cores, or on those of the tool if there are none. Only the thread of starts calls
// it.
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

// tail passes output on and keeps the end of it.
type tail struct {
	mu   sync.Mutex
	next io.Writer
	kept []byte
}

// Write never fails: a log that can't be written is no reason to break the process that writes it.
func (t *tail) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next != nil {
		_, _ = t.next.Write(data)
	}
	t.kept = append(t.kept, data...)
	if surplus := len(t.kept) - keptLog; surplus > 0 {
		t.kept = append(t.kept[:0], t.kept[surplus:]...)
	}
	return len(data), nil
}

func (t *tail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := bytes.Split(bytes.TrimSpace(t.kept), []byte("\n"))
	return string(lines[len(lines)-1])
}
