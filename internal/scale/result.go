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
)

const resultSuffix = ".json"

// Check returns an error if a result is incomplete or has a value that is not finite.
func (r Result) Check() error {
	if r.Experiment == "" {
		return errors.New("result: experiment is missing")
	}
	for i, f := range r.Figures {
		if f.Quantity == "" || f.Unit == "" || f.Source == "" {
			return fmt.Errorf("result: figures[%d]: quantity, unit or source is missing", i)
		}
		if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
			return fmt.Errorf("result: figures[%d] (%s, %s): %v is not finite", i, f.Case, f.Quantity, f.Value)
		}
	}
	return nil
}

// FileName returns the name of a result's file, which consists of the experiment, "-small" for its small form, the
// start in UTC and the seed.
func (r Result) FileName() string {
	small := ""
	if r.Small {
		small = "-small"
	}
	return fmt.Sprintf("%s%s-%s-seed%d%s", r.Experiment, small, r.Started.UTC().Format("20060102T150405Z"), r.Seed,
		resultSuffix)
}

// Write stores the result in a folder, which it creates if needed, and returns the file's path.
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
	temporary := path + ".part"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(temporary, path)
}

// ReadResult reads a stored result.
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

// StoredResults returns the paths of the results in a folder, sorted by name, so that the results of an experiment in
// its full form, and those in its small form, are each in chronological order.
func StoredResults(folder string) ([]string, error) {
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
