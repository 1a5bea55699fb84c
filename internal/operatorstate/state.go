package operatorstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"baylock/balancer"
)

const (
	maxStateBytes = 1 << 20
	// Backends that were attached longer ago have finished their slow start.
	attachedRetention = 10 * time.Minute
)

// State is the operator state of a proxy: which backends are detached, and whether the proxy is a lame duck. It is
// stored as JSON, and other versions of the program read the same keys.
type State struct {
	Version  int64    `json:"version"`  // incremented by each change
	Detached []string `json:"detached"` // IDs of the backends that get no new requests
	// AttachedAt holds the Unix times, in microseconds, at which detached backends were attached again. Each is kept
	// for attachedRetention.
	AttachedAt map[string]balancer.Microseconds `json:"back,omitempty"`
	LameDuck   bool                             `json:"lame_duck"`
}

// Detach adds a backend to the ones that get no new requests.
func (s *State) Detach(id string) {
	if !slices.Contains(s.Detached, id) {
		s.Detached = append(s.Detached, id)
	}
	delete(s.AttachedAt, id)
}

// Attach reverts Detach and records the time. It does nothing for a backend that is not detached.
func (s *State) Attach(id string, now time.Time) {
	i := slices.Index(s.Detached, id)
	if i < 0 {
		return
	}
	s.Detached = slices.Delete(s.Detached, i, i+1)
	if s.AttachedAt == nil {
		s.AttachedAt = map[string]balancer.Microseconds{}
	}
	s.AttachedAt[id] = balancer.Microseconds(now.UnixMicro())
}

// next returns a copy of the state with the next version number.
func (s *State) next() State {
	return State{
		Version:    s.Version + 1,
		Detached:   slices.Clone(s.Detached),
		AttachedAt: maps.Clone(s.AttachedAt),
		LameDuck:   s.LameDuck,
	}
}

// pruneAttachedBefore removes the times of backends that were attached before oldest.
func (s *State) pruneAttachedBefore(oldest time.Time) {
	limit := balancer.Microseconds(oldest.UnixMicro())
	maps.DeleteFunc(s.AttachedAt, func(_ string, at balancer.Microseconds) bool { return at < limit })
}

// stateFile is the file that holds a State. It is always replaced atomically.
type stateFile struct {
	path     string
	lastRead os.FileInfo // identifies the file that was read last; nil before the first read
}

// read returns the state in the file. changed is false if there is no file or if it is unchanged since the last call.
func (f *stateFile) read() (state State, changed bool, err error) {
	file, err := os.Open(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return state, false, nil
	}
	if err != nil {
		return state, false, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return state, false, err
	}
	if f.lastRead != nil && os.SameFile(f.lastRead, info) && f.lastRead.ModTime().Equal(info.ModTime()) {
		return state, false, nil
	}
	f.lastRead = info
	data, err := io.ReadAll(io.LimitReader(file, maxStateBytes))
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	if err != nil {
		return State{}, false, fmt.Errorf("%s: %w", filepath.Base(f.path), err)
	}
	return state, true, nil
}

// replaceFile writes a file atomically. slot makes the name of the temporary file unique to this process.
func replaceFile(path string, slot int64, data []byte) error {
	temporary := fmt.Sprintf("%s.%d", path, slot)
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
