// Package scaletest helps tests of experiments: it builds the real proxy's program and makes what an experiment is given.
package scaletest

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"fernlanding/internal/scale"
)

// program is the path of the real proxy's program during the tests of a package.
var program string

// Main builds the real proxy's program, runs the tests of a package and returns the exit code. TestMain calls it.
func Main(m *testing.M) int {
	folder, err := os.MkdirTemp("", "scaletest-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "fernlanding")
	build := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernlanding")
	if output, err := build.CombinedOutput(); err != nil {
		return fail(fmt.Errorf("build the proxy: %w: %s", err, output))
	}
	return m.Run()
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// Env gives an experiment what it needs for a small run with seed 1. All that it starts is ended with the test.
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
