// Package scaletest provides helpers for the tests of experiments: they build the real proxy's program, create
// environments and check figures.
package scaletest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/scale"
)

// program is the path of the real proxy's program while the tests of a package run.
var program string

// Main builds the real proxy's program, runs the tests of a package and returns the exit code. TestMain calls it.
func Main(m *testing.M) int {
	folder, err := os.MkdirTemp("", "scaletest-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "baylock")
	build := exec.Command("go", "build", "-o", program, "baylock/cmd/baylock")
	if output, err := build.CombinedOutput(); err != nil {
		return fail(fmt.Errorf("build the proxy: %w: %s", err, output))
	}
	return m.Run()
}

// fail prints an error and returns the exit code of a failed test run.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// MainInMemory runs the tests of a package whose experiments run in memory under synctest, and returns the exit code.
// It sets GOMAXPROCS to 1, because the race detector's runtime can crash when thousands of goroutines move between
// threads (tsan_rtl.cpp:346).
func MainInMemory(m *testing.M) int {
	runtime.GOMAXPROCS(1)
	return m.Run()
}

// Env returns the environment of a small run with seed 1. All processes of the run are stopped at the end of the test.
func Env(t *testing.T) scale.Env {
	t.Helper()
	cores, err := scale.AllowedCores()
	if err != nil {
		t.Fatal(err)
	}
	budget := scale.NewBudget()
	t.Cleanup(budget.StopAll)
	return scale.Env{Seed: 1, Small: true, ProxyProgram: program, TempDir: t.TempDir(), Cores: cores, Budget: budget,
		Progress: t.Logf, Log: slog.New(slog.DiscardHandler)}
}

// EnvInMemory returns the environment of a small run that starts no processes.
func EnvInMemory(seed uint64) scale.Env {
	return scale.Env{Seed: seed, Small: true, Progress: func(string, ...any) {}, Log: slog.New(slog.DiscardHandler)}
}

// CheckEndOfContext checks, in a synctest bubble, that an in-memory experiment returns as soon as its context ends.
func CheckEndOfContext(t *testing.T, experiment scale.Experiment, seed uint64) {
	t.Helper()
	const (
		timeout   = 2500 * time.Millisecond
		tolerance = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		begin := time.Now()
		_, err := experiment.Run(ctx, EnvInMemory(seed))
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) > timeout+tolerance {
			t.Errorf("got error %v after %v, want DeadlineExceeded at the timeout", err, time.Since(begin))
		}
	})
}

// CheckCancelledRun checks that an experiment returns, and leaves no process, when its context is cancelled at the
// first progress message with the given format. An empty format stands for any message.
func CheckCancelledRun(t *testing.T, experiment scale.Experiment, format string) {
	t.Helper()
	env := Env(t)
	stop := errors.New("stopped by the test")
	ctx, cancel := context.WithCancelCause(t.Context())
	env.Progress = func(message string, _ ...any) {
		if format == "" || message == format {
			cancel(stop)
		}
	}
	if _, err := experiment.Run(ctx, env); !errors.Is(err, stop) {
		t.Errorf("got error %v, want %v", err, stop)
	}
	if n := env.Budget.Processes(); n != 0 {
		t.Errorf("%d processes still run", n)
	}
}

// FigureName identifies a figure of a result.
type FigureName struct{ Case, Quantity string }

// CheckFigures checks that figures are complete, have distinct names and no negative values, and come from the given
// source. It returns their names.
func CheckFigures(t *testing.T, figures []scale.Figure, source scale.Source) map[FigureName]bool {
	t.Helper()
	seen := map[FigureName]bool{}
	for _, f := range figures {
		name := FigureName{f.Case, f.Quantity}
		if seen[name] || f.Case == "" || f.Unit == "" || f.Source != source || f.Samples == 0 ||
			math.IsNaN(f.Value) || f.Value < 0 {
			t.Errorf("incomplete, duplicate or invalid figure %+v", f)
		}
		seen[name] = true
	}
	return seen
}
