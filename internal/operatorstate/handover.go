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
	if s.locks == nil {
		return nil
	}
	data, err := json.Marshal(learnedRecord{SavedAt: time.Now(), Learned: learned})
	if err != nil {
		return err
	}
	return replaceFile(s.learnedPath, s.locks.slot, data)
}

// LoadLearned returns the state that another process has saved. recent is false if there is none or if it is too old.
func (s *Store) LoadLearned() (learned balancer.LearnedState, recent bool, err error) {
	if s.locks == nil {
		return learned, false, nil
	}
	data, err := os.ReadFile(s.learnedPath)
	if errors.Is(err, os.ErrNotExist) {
		return learned, false, nil
	}
	if err != nil {
		return learned, false, err
	}
	var record learnedRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return learned, false, err
	}
	return record.Learned, time.Since(record.SavedAt).Abs() < handoverMaxAge, nil
}

// endpointsRecord is the content of the file with the endpoint list.
type endpointsRecord struct {
	SavedAt   time.Time       `json:"at"`
	Endpoints json.RawMessage `json:"endpoints"` // in the format of the discovery service
}

// SaveEndpoints stores the endpoint list in use, for another process of this proxy that has started while this one is
// running. An in-memory store discards it.
func (s *Store) SaveEndpoints(list *discovery.List) error {
	if s.locks == nil {
		return nil
	}
	endpoints, err := json.Marshal(list)
	if err != nil {
		return err
	}
	data, err := json.Marshal(endpointsRecord{SavedAt: time.Now(), Endpoints: endpoints})
	if err != nil {
		return err
	}
	return replaceFile(s.endpointsPath, s.locks.slot, data)
}

// LoadEndpoints returns the endpoint list that another process has saved. It is nil if there is none or if it is too old.
func (s *Store) LoadEndpoints() (*discovery.List, error) {
	if s.locks == nil {
		return nil, nil
	}
	data, err := os.ReadFile(s.endpointsPath)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var record endpointsRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, err
	}
	if time.Since(record.SavedAt).Abs() >= handoverMaxAge {
		return nil, nil
	}
	return discovery.ParseList(record.Endpoints)
}
