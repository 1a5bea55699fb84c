package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const resultSuffix = ".json"

// Check tells what makes a result unfit to be kept.
func (r Result) Check() error {
	if r.Experiment == "" {
		return errors.New("result: experiment is missing")
	}
	for i, f := range r.Figures {
		if f.Quantity == "" || f.Unit == "" || f.Source == "" {
			return fmt.Errorf("result: figures[%d]: quantity, unit or source is missing", i)
		}
		if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
			return fmt.Errorf("result: figures[%d] (%s, %s): %v is no figure", i, f.Case, f.Quantity, f.Value)
		}
	}
	return nil
}

// FileName is under what a result is kept: the experiment, the instant of its start in UTC and the seed.
func (r Result) FileName() string {
	small := ""
	if r.Small {
		small = "-small"
	}
	return fmt.Sprintf("%s%s-%s-seed%d%s", r.Experiment, small, r.Started.UTC().Format("20060102T150405Z"), r.Seed,
		resultSuffix)
}

// Write keeps the result in a folder, which is made if need be, and returns the file's path.
func (r Result) Write(folder string) (string, error) {
	if err := r.Check(); err != nil {
		return "", err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", fmt.Errorf("result: %w", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, r.FileName())
	part := path + ".part"
	if err := os.WriteFile(part, append(data, '\n'), 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(part, path)
}

// ReadResult reads a result that was kept.
func ReadResult(path string) (Result, error) {
	var r Result
	data, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	if err := r.Check(); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// KeptResults lists the files of a folder's results by name, so that those of one experiment stand in order of time.
func KeptResults(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, entry := range entries {
		if !entry.IsDir() && strings.HasSuffix(entry.Name(), resultSuffix) {
			paths = append(paths, filepath.Join(folder, entry.Name()))
		}
	}
	slices.Sort(paths)
	return paths, nil
}

// Missed counts the figures that are over their targets.
func (r Result) Missed() int {
	missed := 0
	for _, f := range r.Figures {
		if !f.Meets() {
			missed++
		}
	}
	return missed
}

// took rounds a duration for reading.
func took(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
