package operatorstate

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

// handoverMaxAge is the age from which a saved state or list is too old to describe the backends.
const handoverMaxAge = 5 * time.Second

// learnedRecord is the content of the learned-state file. Other versions of the program read the same keys.
type learnedRecord struct {
	SavedAt time.Time             `json:"at"`
	Learned balancer.LearnedState `json:"learned"`
}

// SaveLearned stores what the balancer has learned, for another process of this proxy that starts while this one is
// running. An in-memory store discards it.
func (s *Store) SaveLearned(learned balancer.LearnedState) error {
	return s.saveRecord(s.learnedPath, learnedRecord{SavedAt: time.Now(), Learned: learned})
}

// LoadLearned returns the state that another process has saved. recent is false if there is none or if it is too old.
func (s *Store) LoadLearned() (learned balancer.LearnedState, recent bool, err error) {
	var record learnedRecord
	if err := s.loadRecord(s.learnedPath, &record); err != nil {
		return learned, false, err
	}
	return record.Learned, isRecent(record.SavedAt), nil
}

// endpointsRecord is the content of the file with the endpoint list.
type endpointsRecord struct {
	SavedAt   time.Time       `json:"at"`
	Endpoints json.RawMessage `json:"endpoints"` // in the format of the discovery service
}

// SaveEndpoints stores the endpoint list in use, for another process of this proxy that has started while this one is
// running. An in-memory store discards it.
func (s *Store) SaveEndpoints(list *discovery.List) error {
	endpoints, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return s.saveRecord(s.endpointsPath, endpointsRecord{SavedAt: time.Now(), Endpoints: endpoints})
}

// LoadEndpoints returns the endpoint list that another process has saved. It is nil if there is none or if it is too old.
func (s *Store) LoadEndpoints() (*discovery.List, error) {
	var record endpointsRecord
	if err := s.loadRecord(s.endpointsPath, &record); err != nil || !isRecent(record.SavedAt) {
		return nil, err
	}
	return discovery.ParseList(record.Endpoints)
}

// saveRecord replaces the content of a file for another process. An in-memory store discards the record.
func (s *Store) saveRecord(path string, record any) error {
	if s.locks == nil {
		return nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return replaceFile(path, s.locks.slot, data)
}

// loadRecord reads a file that another process has written. It leaves the record unchanged if there is no file.
func (s *Store) loadRecord(path string, record any) error {
	if s.locks == nil {
		return nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(data, record)
}

// isRecent reports whether what was saved at a time still describes the backends. The zero time is not recent.
func isRecent(savedAt time.Time) bool { return time.Since(savedAt).Abs() < handoverMaxAge }
