package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"baylock/balancer"
)

const (
	// What one process was told the other knows this much later at most, well within the grace of a drain.
	agreeEvery = 50 * time.Millisecond
	// A peer holds the state only to replace one small file.
	stateWait = 500 * time.Millisecond
	stateStep = 5 * time.Millisecond
	maxState  = 1 << 20
	backKept  = 10 * time.Minute // a backend that was put back longer ago is warm

	learnedEvery = 20              // times that the state is looked at, for one note of what the module has learned
	learnedFor   = 5 * time.Second // then it says little
)

// Locks on bytes of the lock file. Each process holds one of the seats while it lives, and one of the same
// number among the open ones once it takes connections.
const (
	stateByte = 0
	seatByte  = 1
	seats     = 8
	openByte  = seatByte + seats

	// Locks of an open file, not of a process: they end with it, however it ends.
	ofdGetlk = 36
	ofdSetlk = 37
)

// state is what operators have said: it holds for all processes of a proxy and outlives each of them.
type state struct {
	Version  int64                            `json:"version"`
	Detached []string                         `json:"detached"`
	Back     map[string]balancer.Microseconds `json:"back,omitempty"` // when backends were attached, in Unix microseconds
	LameDuck bool                             `json:"lame_duck"`
}

// shared is what the processes of one proxy have in common while a new version takes over from an old one: the
// state, in a file that is only ever replaced whole, and locks that tell who lives. Without a folder the state
// is in memory and there are no others.
type shared struct {
	mu   sync.Mutex // held from a look at the state until the loop has it
	now  state
	seen os.FileInfo // of the file as last read
	path string
	lock *os.File
	seat int64
	log  *slog.Logger
}

// openShared takes a seat and reads the state. One that makes no sense is logged, and none stands in for it.
func openShared(dir, name string, log *slog.Logger) (*shared, error) {
	s := &shared{log: log}
	if dir == "" {
		return s, nil
	}
	base := filepath.Join(dir, "fernlanding-"+url.PathEscape(name))
	s.path = base + ".json"
	var err error
	if s.lock, err = os.OpenFile(base+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("shared state: %w", err)
	}
	for s.seat = 0; s.seat < seats && s.take(seatByte+s.seat, syscall.F_WRLCK) != nil; s.seat++ {
	}
	if s.seat == seats {
		s.lock.Close()
		return nil, errors.New("shared state: all seats are taken")
	}
	if err := s.refresh(); err != nil {
		log.Error("shared state is not taken", "error", err)
	}
	return s, nil
}

func (s *shared) close() {
	if s.lock != nil {
		s.lock.Close()
	}
}

// take locks a byte of the lock file, or unlocks it, without a wait.
func (s *shared) take(b int64, how int16) error {
	return syscall.FcntlFlock(s.lock.Fd(), ofdSetlk, &syscall.Flock_t{Type: how, Whence: io.SeekStart, Start: b, Len: 1})
}

// others counts the locks that other processes hold among as many bytes as there are seats.
func (s *shared) others(from int64) (n int) {
	if s.lock == nil {
		return 0
	}
	for b := from; b < from+seats; b++ {
		l := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: b, Len: 1}
		if err := syscall.FcntlFlock(s.lock.Fd(), ofdGetlk, &l); err == nil && l.Type != syscall.F_UNLCK {
			n++
		}
	}
	return n
}

// alone tells whether no other process of this proxy lives.
func (s *shared) alone() bool { return s.others(seatByte) == 0 }

// succeeded tells whether another process takes connections.
func (s *shared) succeeded() bool { return s.others(openByte) > 0 }

// open tells the others that this process takes connections.
func (s *shared) open() error {
	if s.lock == nil {
		return nil
	}
	return s.take(openByte+s.seat, syscall.F_WRLCK)
}

// shut takes that back.
func (s *shared) shut() {
	if s.lock != nil {
		_ = s.take(openByte+s.seat, syscall.F_UNLCK) // the end of the process does the same
	}
}

// refresh reads the state. The caller holds mu.
func (s *shared) refresh() error {
	if s.path == "" {
		return nil
	}
	f, err := os.Open(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	fi, err := f.Stat()
	if err != nil {
		return err
	}
	if s.seen != nil && os.SameFile(s.seen, fi) && s.seen.ModTime().Equal(fi.ModTime()) {
		return nil
	}
	s.seen = fi
	data, err := io.ReadAll(io.LimitReader(f, maxState))
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Base(s.path), err)
	}
	var st state
	if err := json.Unmarshal(data, &st); err != nil {
		return fmt.Errorf("%s: %w", filepath.Base(s.path), err)
	}
	s.now = st
	return nil
}

// change replaces the state. Nothing has changed when it fails. The caller holds mu.
func (s *shared) change(f func(*state)) error {
	if s.path != "" {
		for end := time.Now().Add(stateWait); s.take(stateByte, syscall.F_WRLCK) != nil; time.Sleep(stateStep) {
			if time.Now().After(end) {
				return errors.New("shared state: another process holds it")
			}
		}
		defer func() { _ = s.take(stateByte, syscall.F_UNLCK) }()
		if err := s.refresh(); err != nil {
			s.log.Error("shared state is replaced", "error", err)
		}
	}
	next := state{Version: s.now.Version + 1, Detached: slices.Clone(s.now.Detached), Back: maps.Clone(s.now.Back),
		LameDuck: s.now.LameDuck}
	f(&next)
	old := balancer.Microseconds(time.Now().Add(-backKept).UnixMicro())
	maps.DeleteFunc(next.Back, func(_ string, at balancer.Microseconds) bool { return at < old })
	if err := s.write(next); err != nil {
		return fmt.Errorf("shared state: %w", err)
	}
	s.now = next
	return nil
}

func (s *shared) write(st state) error {
	if s.path == "" {
		return nil
	}
	data, err := json.Marshal(st)
	if err != nil {
		return err
	}
	return s.replace(s.path, data)
}

// replace writes a file whole or not at all.
func (s *shared) replace(path string, data []byte) error {
	tmp := fmt.Sprintf("%s.%d", path, s.seat)
	if err := os.WriteFile(tmp, data, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// noted is what the module has learned, in a file beside the state.
type noted struct {
	At      time.Time             `json:"at"`
	Learned balancer.LearnedState `json:"learned"`
}

// note writes down what the module has learned, for a new version that takes over.
func (s *shared) note(l balancer.LearnedState) error {
	data, err := json.Marshal(noted{time.Now(), l})
	if err != nil {
		return err
	}
	return s.replace(s.path+".learned", data)
}

// learned reads what the module of the process beside this one has learned; ok is false where nobody has noted it
// lately.
func (s *shared) learned() (l balancer.LearnedState, ok bool, err error) {
	data, err := os.ReadFile(s.path + ".learned")
	if errors.Is(err, os.ErrNotExist) {
		return l, false, nil
	}
	if err != nil {
		return l, false, err
	}
	var n noted
	if err := json.Unmarshal(data, &n); err != nil {
		return l, false, err
	}
	return n.Learned, time.Since(n.At).Abs() < learnedFor, nil
}

// detach and attach change the state by one backend.
func (st *state) detach(id string) {
	if !slices.Contains(st.Detached, id) {
		st.Detached = append(st.Detached, id)
	}
	delete(st.Back, id)
}

func (st *state) attach(id string, now time.Time) {
	if i := slices.Index(st.Detached, id); i >= 0 {
		st.Detached = slices.Delete(st.Detached, i, i+1)
		if st.Back == nil {
			st.Back = map[string]balancer.Microseconds{}
		}
		st.Back[id] = balancer.Microseconds(now.UnixMicro())
	}
}
