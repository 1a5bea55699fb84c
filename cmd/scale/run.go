package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"syscall"
	"time"

	"baylock/internal/scale"
)

const (
	defaultTimeout = 10 * time.Minute
	defaultFolder  = "results"
	stopTimeout    = 10 * time.Second // how long an experiment may take to return after its context has ended
)

type runCommand struct {
	Experiment string        `arg:"" help:"Name of the experiment; see the list command."`
	Seed       uint64        `default:"1" help:"Seed of all random draws."`
	Small      bool          `help:"A small and short form of the experiment."`
	Out        string        `default:"${results}" help:"Folder for the result, a JSON file."`
	Proxy      string        `placeholder:"FILE" help:"Program of the real proxy (default: ${program}, here or at the top of the repository)."`
	Timeout    time.Duration `default:"${timeout}" help:"Time limit of the run."`
	CPUs       []int         `name:"cpus" placeholder:"N,..." help:"Cores for the tool and its processes (default: those that it may use)."`
	MemoryMB   int64         `name:"memory-mb" placeholder:"MB" help:"Memory limit of the run; at most half of the machine's."`
}

// Run runs one experiment, shows its result and stores it.
func (c runCommand) Run(a *application) error {
	experiment, err := a.find(c.Experiment)
	if err != nil {
		return err
	}
	env, err := c.environment(a, experiment)
	if err != nil {
		return err
	}
	if env.TempDir, err = os.MkdirTemp("", "scale-"); err != nil {
		return err
	}
	defer os.RemoveAll(env.TempDir)
	commits := readProgramCommits(env.ProxyProgram)
	started := time.Now()
	progress := newProgress(a.errors, started)
	env.Progress = progress.show
	result, err := c.perform(experiment, env, a.stopTimeout)
	progress.clear()
	if err != nil {
		return fmt.Errorf("%s: %w", experiment.Name, err)
	}
	result.Experiment = experiment.Name
	result.Started = started
	result.Duration = time.Since(started)
	result.Seed = c.Seed
	result.Small = c.Small
	result.Commit = commits.forResult(result)
	result.Machine = machine(env.Cores)
	return c.store(a, result)
}

// environment checks the flags and returns the experiment's environment, with TempDir and Progress not yet set.
func (c runCommand) environment(a *application, experiment scale.Experiment) (scale.Env, error) {
	env := scale.Env{Seed: c.Seed, Small: c.Small, Budget: scale.NewBudget(),
		Log: slog.New(slog.NewTextHandler(a.errors, &slog.HandlerOptions{Level: slog.LevelWarn}))}
	if c.Timeout <= 0 {
		return env, fmt.Errorf("--timeout %v: want a positive time", c.Timeout)
	}
	if c.MemoryMB < 0 {
		return env, fmt.Errorf("--memory-mb %d: negative", c.MemoryMB)
	}
	if c.MemoryMB > 0 {
		env.Budget.LowerMemoryLimit(c.MemoryMB << 20)
	}
	var err error
	if env.ProxyProgram, err = findProxy(c.Proxy); err != nil {
		return env, err
	}
	if experiment.NeedsProxy && env.ProxyProgram == "" {
		return env, scale.ErrProxyMissing
	}
	env.Cores, err = c.cores()
	return env, err
}

// cores returns the cores that the run may use. If --cpus names them, it restricts the tool to them.
func (c runCommand) cores() ([]int, error) {
	allowed, err := scale.AllowedCores()
	if err != nil || len(c.CPUs) == 0 {
		return allowed, err
	}
	for i, core := range c.CPUs {
		if !slices.Contains(allowed, core) {
			return nil, fmt.Errorf("--cpus: core %d is not one of those that the tool may use, %v", core, allowed)
		}
		if slices.Contains(c.CPUs[:i], core) {
			return nil, fmt.Errorf("--cpus: duplicate core %d", core)
		}
	}
	return c.CPUs, scale.RestrictToCores(c.CPUs)
}

// outcome holds what Experiment.Run returned.
type outcome struct {
	result scale.Result
	err    error
}

// perform runs the experiment until it returns, a limit of the run is exceeded or a signal arrives. All processes of
// the experiment have ended when perform returns.
func (c runCommand) perform(experiment scale.Experiment, env scale.Env, stopTimeout time.Duration) (scale.Result, error) {
	ctx, stopSignals := cancelOnSignal(context.Background())
	defer stopSignals()
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, c.Timeout,
		&scale.LimitError{Limit: fmt.Sprintf("a time of %v (--timeout)", c.Timeout)})
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer env.Budget.StopAll()
	go func() {
		if err := env.Budget.WatchMemory(ctx); err != nil {
			cancel(err)
		}
	}()
	returned := make(chan outcome, 1)
	go func() {
		result, err := experiment.Run(ctx, env)
		returned <- outcome{result, err}
	}()
	select {
	case o := <-returned:
		return o.result, causeOf(ctx, o.err)
	case <-ctx.Done():
	}
	select {
	case <-returned: // a result returned after the end of the context is incomplete
		return scale.Result{}, context.Cause(ctx)
	case <-time.After(stopTimeout):
		return scale.Result{}, fmt.Errorf("%w; the experiment did not return in time", context.Cause(ctx))
	}
}

// causeOf returns the cause of the context's end if the context has ended, since err is then only a consequence of that.
// Otherwise, it returns err.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// cancelOnSignal returns a context that ends on SIGINT, SIGTERM or SIGHUP.
func cancelOnSignal(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			cancel(errors.New("ended by a signal: " + s.String()))
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel(nil)
	}
}

// store shows a result and stores it in the folder for results.
func (c runCommand) store(a *application, result scale.Result) error {
	if err := scale.WriteTable(a.out, result); err != nil {
		return err
	}
	path, err := result.Write(c.Out)
	if err != nil {
		return fmt.Errorf("store the result: %w", err)
	}
	_, err = fmt.Fprintln(a.out, "stored in "+path)
	return err
}

func machine(allowed []int) scale.Machine {
	return scale.Machine{System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version(), Cores: scale.MachineCores(),
		Allowed: allowed}
}
