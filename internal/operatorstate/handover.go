package operatorstate

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"baylock/balancer"
)

// learnedMaxAge is the age from which a learned state is too old to describe the backends.
const learnedMaxAge = 5 * time.Second

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
	return record.Learned, time.Since(record.SavedAt).Abs() < learnedMaxAge, nil
}
