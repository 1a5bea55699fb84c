// Package scaletest helps tests of experiments: it builds the real proxy's program and makes what an experiment is given.
package scaletest

import (
	"fmt"
	"log/slog"
	"math"
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

// EnvInMemory gives an experiment that starts no processes what it needs for a small run.
func EnvInMemory(seed uint64) scale.Env {
	return scale.Env{Seed: seed, Small: true, Progress: func(string, ...any) {}, Log: slog.New(slog.DiscardHandler)}
}

// FigureName tells one figure of a result from the others.
type FigureName struct{ Case, Quantity string }

// CheckFigures checks that figures are whole, come from one source, and that none is given twice. It gives their names.
func CheckFigures(t *testing.T, figures []scale.Figure, source scale.Source) map[FigureName]bool {
	t.Helper()
	seen := map[FigureName]bool{}
	for _, f := range figures {
		name := FigureName{f.Case, f.Quantity}
		if seen[name] || f.Case == "" || f.Unit == "" || f.Source != source || f.Samples == 0 ||
			math.IsNaN(f.Value) || f.Value < 0 {
			t.Errorf("figure %+v", f)
		}
		seen[name] = true
	}
	return seen
}
