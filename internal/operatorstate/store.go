// Package operatorstate stores the operator state of a proxy, and passes the endpoint list and what the balancer has
// learned to the next process. All processes of a proxy share them through files in one directory. Locks on bytes of a
// lock file show them which other processes are running. The files remain when the processes exit.
package operatorstate

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"path/filepath"
	"sync"
	"time"
)

// Prefix and suffixes of the file names, with the proxy's name in between. Other versions of the program that run at
// the same time use the same file names.
const (
	filePrefix      = "fernlanding-"
	stateSuffix     = ".json"
	lockSuffix      = ".lock"
	learnedSuffix   = ".json.learned"
	endpointsSuffix = ".json.endpoints"

	fileMode = 0o600
)

// Store holds the state of one proxy. It is safe for concurrent use.
type Store struct {
	log           *slog.Logger
	locks         *lockFile // nil for an in-memory store
	learnedPath   string    // path of the learned-state file
	endpointsPath string    // path of the file with the endpoint list
	departedBase  string    // path of the files with departures, without the slot

	mu             sync.Mutex // guards the fields below, and is also held while a state is applied
	file           stateFile
	current        State
	appliedVersion int64 // version of the state applied last
}

// NewInMemory returns a store that is not shared with other processes and is lost when this one exits.
func NewInMemory(log *slog.Logger) *Store { return &Store{log: log} }

// Open opens the store of the named proxy in a directory and loads its state. If the state file can't be read, Open
// logs the error and treats the file as empty. The caller applies the state that Current returns; Change and Sync pass
// each later state to their apply function.
func Open(dir, name string, log *slog.Logger) (*Store, error) {
	base := filepath.Join(dir, filePrefix+url.PathEscape(name))
	locks, err := openLockFile(base + lockSuffix)
	if err != nil {
		return nil, fmt.Errorf("shared state: %w", err)
	}
	s := &Store{
		log:           log,
		locks:         locks,
		learnedPath:   base + learnedSuffix,
		endpointsPath: base + endpointsSuffix,
		departedBase:  base + departedSuffix,
		file:          stateFile{path: base + stateSuffix},
	}
	if err := s.reload(); err != nil {
		log.Error("failed to load the shared state", "error", err)
	}
	s.appliedVersion = s.current.Version
	return s, nil
}

// Close releases the locks that show other processes that this one is running.
func (s *Store) Close() {
	if s.locks != nil {
		s.locks.close()
	}
}

// Shared reports whether other processes can share the state.
func (s *Store) Shared() bool { return s.locks != nil }

// Alone reports whether no other process of this proxy is running.
func (s *Store) Alone() bool {
	return s.locks == nil || s.locks.heldByOthers(firstSlotByte) == 0
}

// AcceptingPeers returns the number of other processes of this proxy that accept connections.
func (s *Store) AcceptingPeers() int {
	if s.locks == nil {
		return 0
	}
	return s.locks.heldByOthers(firstAcceptingByte)
}

// StartAccepting shows other processes that this one accepts connections.
func (s *Store) StartAccepting() error {
	if s.locks == nil {
		return nil
	}
	if err := s.locks.lock(firstAcceptingByte + s.locks.slot); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	return nil
}

// StopAccepting reverts StartAccepting.
func (s *Store) StopAccepting() {
	if s.locks != nil {
		s.locks.unlock(firstAcceptingByte + s.locks.slot)
	}
}

// Current returns the state that was read or stored last. The caller must not modify its slice or map.
func (s *Store) Current() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Change calls check with the current state, edits and stores the state, and calls apply with the new one. No other
// state is applied in between. If check or the storage fails, the state is not changed. If apply fails, the next Sync
// applies the new state.
func (s *Store) Change(check func(State) error, edit func(*State), apply func(State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := check(s.current); err != nil {
		return err
	}
	if err := s.replace(edit); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	return s.applyCurrent(apply)
}

// Sync reads the state, which other processes may have changed, and calls apply unless this state has been applied.
func (s *Store) Sync(apply func(State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.reload(); err != nil {
		return err
	}
	if s.appliedVersion == s.current.Version {
		return nil
	}
	return s.applyCurrent(apply)
}

// applyCurrent calls apply with the current state and records its version. The caller holds mu.
func (s *Store) applyCurrent(apply func(State) error) error {
	if err := apply(s.current); err != nil {
		return err
	}
	s.appliedVersion = s.current.Version
	return nil
}

// reload reads the state file. The caller holds mu, or is Open.
func (s *Store) reload() error {
	if s.locks == nil {
		return nil
	}
	state, changed, err := s.file.read()
	if changed {
		s.current = state
	}
	return err
}

// replace edits the current state and stores it under the next version. The caller holds mu.
func (s *Store) replace(edit func(*State)) error {
	if s.locks != nil {
		if err := s.locks.lockState(); err != nil {
			return err
		}
		defer s.locks.unlock(stateByte)
		if err := s.reload(); err != nil {
			s.log.Error("failed to read the shared state, replacing it", "error", err)
		}
	}
	next := s.current.next()
	edit(&next)
	next.pruneAttachedBefore(time.Now().Add(-attachedRetention))
	if err := s.write(next); err != nil {
		return err
	}
	s.current = next
	return nil
}

func (s *Store) write(state State) error {
	if s.locks == nil {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return replaceFile(s.file.path, s.locks.slot, data)
}
