package operatorstate

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"baylock/balancer"
)

// learnedMaxAge is the age from which a learned state says too little of the backends.
const learnedMaxAge = 5 * time.Second

// learnedRecord is the content of the learned state's file. Other versions of the program read the same keys.
type learnedRecord struct {
	SavedAt time.Time             `json:"at"`
	Learned balancer.LearnedState `json:"learned"`
}

// SaveLearned stores what the balancer has learned, for a process that starts beside this one. A store in memory drops
// it.
func (s *Store) SaveLearned(learned balancer.LearnedState) error {
	if s.locks == nil {
		return nil
	}
	data, err := json.Marshal(learnedRecord{SavedAt: time.Now(), Learned: learned})
	if err != nil {
		return err
	}
	return replaceFile(s.learned, s.locks.slot, data)
}

// LoadLearned returns what another process has saved; recent is false where there is nothing, or nothing recent.
func (s *Store) LoadLearned() (learned balancer.LearnedState, recent bool, err error) {
	if s.locks == nil {
		return learned, false, nil
	}
	data, err := os.ReadFile(s.learned)
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
