package operatorstate

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

const proxyName = "n0"

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, proxyName, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func acceptAnyState(State) error { return nil }

// change edits a store's state and fails the test on an error.
func change(t *testing.T, s *Store, edit func(*State)) {
	t.Helper()
	if err := s.Change(acceptAnyState, edit, acceptAnyState); err != nil {
		t.Fatal(err)
	}
}

func TestStoreCountsOtherProcesses(t *testing.T) {
	dir := t.TempDir()
	first := openStore(t, dir)
	if !first.Alone() || first.AcceptingPeers() != 0 {
		t.Errorf("one process: alone %v, %d others accept", first.Alone(), first.AcceptingPeers())
	}
	if err := first.StartAccepting(); err != nil {
		t.Fatal(err)
	}
	second := openStore(t, dir)
	if first.Alone() || first.AcceptingPeers() != 0 || second.Alone() || second.AcceptingPeers() != 1 {
		t.Errorf("two processes: alone %v and %v, %d and %d others accept", first.Alone(), second.Alone(),
			first.AcceptingPeers(), second.AcceptingPeers())
	}
	second.Close()
	if !first.Alone() {
		t.Error("not alone after the other store is closed")
	}
}

func TestOpenFailsWithoutFreeSlot(t *testing.T) {
	dir := t.TempDir()
	for range 8 { // processSlots
		openStore(t, dir)
	}
	if _, err := Open(dir, proxyName, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrNoFreeSlot) {
		t.Errorf("got %v", err)
	}
}

func TestOpenFailsWithoutDirectory(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "none"), proxyName, slog.New(slog.DiscardHandler)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

func TestOpenTreatsDamagedFileAsEmpty(t *testing.T) {
	for name, text := range map[string]string{"half": `{"version":3,"det`, "array": `[1,2]`, "empty": "",
		"type": `{"version":1,"detached":{"a":1}}`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "fernlanding-n0.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			s := openStore(t, dir)
			if got := s.Current(); !reflect.DeepEqual(got, State{}) {
				t.Errorf("got %+v", got)
			}
			change(t, s, func(state *State) { state.Detach("a") })
			if got := openStore(t, dir).Current(); got.Version != 1 || !slices.Equal(got.Detached, []string{"a"}) {
				t.Errorf("after a change: got %+v", got)
			}
		})
	}
}

func TestSyncAppliesChangeOfOtherProcessOnce(t *testing.T) {
	dir := t.TempDir()
	first, second := openStore(t, dir), openStore(t, dir)
	change(t, first, func(state *State) { state.Detach("a") })
	var applied []State
	apply := func(state State) error {
		applied = append(applied, state)
		return nil
	}
	for range 3 {
		if err := second.Sync(apply); err != nil {
			t.Fatal(err)
		}
	}
	if len(applied) != 1 || applied[0].Version != 1 || !slices.Equal(applied[0].Detached, []string{"a"}) {
		t.Errorf("three calls of Sync applied %+v, want the change once", applied)
	}
	if err := first.Sync(apply); err != nil || len(applied) != 1 {
		t.Errorf("a store applied its own change again: %+v, %v", applied, err)
	}
}

func TestSyncRetriesStateThatWasNotApplied(t *testing.T) {
	s := openStore(t, t.TempDir())
	errApply := errors.New("apply failed")
	err := s.Change(acceptAnyState, func(state *State) { state.LameDuck = true }, func(State) error { return errApply })
	if !errors.Is(err, errApply) {
		t.Fatalf("got %v", err)
	}
	applied := 0
	for range 2 {
		if err := s.Sync(func(state State) error { applied++; return acceptAnyState(state) }); err != nil {
			t.Fatal(err)
		}
	}
	if applied != 1 || !s.Current().LameDuck {
		t.Errorf("Sync applied the new state %d times, want once; the state is %+v", applied, s.Current())
	}
}

func TestChangeKeepsStateOnError(t *testing.T) {
	errCheck := errors.New("refused")
	for name, c := range map[string]struct {
		prepare func(t *testing.T, dir string)
		check   func(State) error
		want    error
	}{
		"check fails": {func(*testing.T, string) {}, func(State) error { return errCheck }, errCheck},
		"state locked": {func(t *testing.T, dir string) {
			t.Helper()
			if err := openStore(t, dir).locks.lock(stateByte); err != nil {
				t.Fatal(err)
			}
		}, acceptAnyState, ErrStateLocked},
		"directory removed": {func(t *testing.T, dir string) {
			t.Helper()
			if err := os.RemoveAll(dir); err != nil {
				t.Fatal(err)
			}
		}, acceptAnyState, os.ErrNotExist},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := openStore(t, dir)
			c.prepare(t, dir)
			err := s.Change(c.check, func(state *State) { state.LameDuck = true }, func(State) error {
				t.Error("apply was called after an error")
				return nil
			})
			if !errors.Is(err, c.want) || !reflect.DeepEqual(s.Current(), State{}) {
				t.Errorf("got %v, state %+v", err, s.Current())
			}
		})
	}
}

func TestLoadLearnedReportsRecentState(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if _, recent, err := s.LoadLearned(); recent || err != nil {
		t.Errorf("no file: recent %v, %v", recent, err)
	}
	if err := s.SaveLearned(balancer.LearnedState{QuotaMultiplier: 0.5}); err != nil {
		t.Fatal(err)
	}
	if got, recent, err := s.LoadLearned(); !recent || err != nil || got.QuotaMultiplier != 0.5 {
		t.Errorf("got %+v, recent %v, %v", got, recent, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "fernlanding-n0.json.learned"), []byte(`{"at":"now`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, recent, err := s.LoadLearned(); recent || err == nil {
		t.Errorf("a damaged file: recent %v, %v", recent, err)
	}
}

func TestLoadEndpointsReturnsRecentList(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if list, err := s.LoadEndpoints(); list != nil || err != nil {
		t.Errorf("no file: got %+v, %v", list, err)
	}
	saved := &discovery.List{Index: 43, Snapshot: true, Endpoints: []discovery.Endpoint{
		{Name: "a", Address: "127.0.0.1:1", Zone: "z", Cell: 2, Status: discovery.Draining, SinceMs: 7}}}
	if err := s.SaveEndpoints(saved); err != nil {
		t.Fatal(err)
	}
	if list, err := s.LoadEndpoints(); err != nil || !reflect.DeepEqual(list, saved) {
		t.Errorf("got %+v, %v, want %+v", list, err, saved)
	}
	path := filepath.Join(dir, "fernlanding-n0.json.endpoints")
	const list = `"endpoints":{"index":43,"snapshot":true,"endpoints":[]}`
	for name, c := range map[string]struct {
		text   string
		failed bool
	}{
		"too old":      {`{"at":"2026-01-02T03:04:05Z",` + list + `}`, false},
		"damaged":      {`{"at":"now`, true},
		"without list": {fmt.Sprintf(`{"at":%q}`, time.Now().Format(time.RFC3339Nano)), true},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := s.LoadEndpoints(); list != nil || (err != nil) != c.failed {
			t.Errorf("%s: got %+v, %v", name, list, err)
		}
	}
}

func TestStoreInMemoryHasNoPeers(t *testing.T) {
	s := NewInMemory(slog.New(slog.DiscardHandler))
	defer s.Close()
	if err := s.StartAccepting(); err != nil {
		t.Error(err)
	}
	if s.Shared() || !s.Alone() || s.AcceptingPeers() != 0 {
		t.Errorf("shared %v, alone %v, %d others accept", s.Shared(), s.Alone(), s.AcceptingPeers())
	}
	change(t, s, func(state *State) { state.Detach("a") })
	if got := s.Current(); got.Version != 1 || !slices.Equal(got.Detached, []string{"a"}) {
		t.Errorf("got %+v", got)
	}
	s.StopAccepting()
}

func TestStateAttachRevertsDetach(t *testing.T) {
	now := time.UnixMicro(5_000_000)
	for name, c := range map[string]struct {
		edit func(*State)
		want State
	}{
		"detached twice":          {func(s *State) { s.Detach("a"); s.Detach("a") }, State{Detached: []string{"a"}}},
		"attached":                {func(s *State) { s.Detach("a"); s.Attach("a", now) }, State{Detached: []string{}, AttachedAt: map[string]balancer.Microseconds{"a": 5_000_000}}},
		"attached without detach": {func(s *State) { s.Attach("a", now) }, State{}},
		"detached again":          {func(s *State) { s.Detach("a"); s.Attach("a", now); s.Detach("a") }, State{Detached: []string{"a"}, AttachedAt: map[string]balancer.Microseconds{}}},
		"attached long ago":       {func(s *State) { s.Detach("a"); s.Attach("a", now); s.pruneAttachedBefore(now.Add(1 * time.Second)) }, State{Detached: []string{}, AttachedAt: map[string]balancer.Microseconds{}}},
		"attached a moment ago":   {func(s *State) { s.Detach("a"); s.Attach("a", now); s.pruneAttachedBefore(now) }, State{Detached: []string{}, AttachedAt: map[string]balancer.Microseconds{"a": 5_000_000}}},
	} {
		t.Run(name, func(t *testing.T) {
			var got State
			c.edit(&got)
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
