package operatorstate

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/discovery"
)

// copyEarlierVersionFiles copies the files that an earlier version of the program (commit d9ac8c1) wrote to a new
// directory, which it returns. The files were written after 40 requests to three backends. Backends a and c had been
// detached and c attached again, and the proxy was a lame duck.
func copyEarlierVersionFiles(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata")); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestOpenReadsStateOfEarlierVersion(t *testing.T) {
	want := State{Version: 4, Detached: []string{"a"}, AttachedAt: map[string]balancer.Microseconds{"c": 1796292068658715},
		LameDuck: true}
	if got := openStore(t, copyEarlierVersionFiles(t)).Current(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestLoadLearnedReadsFileOfEarlierVersion(t *testing.T) {
	learned, recent, err := openStore(t, copyEarlierVersionFiles(t)).LoadLearned()
	if err != nil || recent {
		t.Fatalf("recent %v, %v", recent, err)
	}
	if learned.TierLimit != 5.5 || learned.QuotaMultiplier != 2 || len(learned.Classes) != 3 || len(learned.Endpoints) != 3 {
		t.Fatalf("got %+v", learned)
	}
	if class := learned.Classes[0]; class.Name != "look" || class.Limit != 5.5 || class.MeanLatency != 58616.4272949933 {
		t.Errorf("got class %+v", class)
	}
	if endpoint := learned.Endpoints["b"]; endpoint.RelativeLatency != 0.38814410958214657 || len(endpoint.ClassHealth) != 3 {
		t.Errorf("got endpoint %+v", endpoint)
	}
}

// readJSON returns the content of a JSON file.
func readJSON(t *testing.T, path string) map[string]any {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var content map[string]any
	if err := json.Unmarshal(data, &content); err != nil {
		t.Fatal(err)
	}
	return content
}

// keyPaths returns the sorted paths of all keys in a JSON value, at any depth.
func keyPaths(value any, path string) []string {
	found := map[string]bool{}
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			found[path+"."+key] = true
			for _, p := range keyPaths(inner, path+"."+key) {
				found[p] = true
			}
		}
	case []any:
		for _, inner := range value {
			for _, p := range keyPaths(inner, path+"[]") {
				found[p] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Different versions of the program can run at the same time and read each other's files.
func TestStoreWritesKeysOfEarlierVersion(t *testing.T) {
	earlier, dir := copyEarlierVersionFiles(t), t.TempDir()
	learned, _, err := openStore(t, earlier).LoadLearned()
	if err != nil {
		t.Fatal(err)
	}
	s := openStore(t, dir)
	change(t, s, func(state *State) { state.Detach("a") })
	change(t, s, func(state *State) { state.Detach("c") })
	change(t, s, func(state *State) { state.Attach("c", time.Now()) })
	change(t, s, func(state *State) { state.LameDuck = true })
	if err := s.SaveLearned(learned); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string][]string{
		"fernlanding-n0.json": {".back", ".back.c", ".detached", ".lame_duck", ".version"},
		"fernlanding-n0.json.learned": {".at", ".learned", ".learned.classes",
			".learned.classes[].base", ".learned.classes[].count", ".learned.classes[].errs", ".learned.classes[].mean",
			".learned.classes[].name", ".learned.classes[].seen", ".learned.errs", ".learned.servers",
			".learned.servers.a", ".learned.servers.a.classes", ".learned.servers.a.launched", ".learned.servers.a.left",
			".learned.servers.a.slowness", ".learned.servers.b", ".learned.servers.b.classes",
			".learned.servers.b.launched", ".learned.servers.b.left", ".learned.servers.b.slowness", ".learned.servers.c",
			".learned.servers.c.classes", ".learned.servers.c.launched", ".learned.servers.c.left",
			".learned.servers.c.slowness", ".learned.share", ".learned.spill", ".learned.tier"},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := readJSON(t, filepath.Join(earlier, name)), readJSON(t, filepath.Join(dir, name))
			if got := keyPaths(before, ""); !slices.Equal(got, want) {
				t.Errorf("the earlier version wrote keys %q", got)
			}
			if got := keyPaths(after, ""); !slices.Equal(got, want) {
				t.Errorf("this version wrote keys %q", got)
			}
			if !reflect.DeepEqual(after["learned"], before["learned"]) {
				t.Errorf("got values %v, want %v", after["learned"], before["learned"])
			}
			if kind := fmt.Sprintf("%T", after["version"]); kind != fmt.Sprintf("%T", before["version"]) {
				t.Errorf("the version is a %s, unlike that of the earlier version", kind)
			}
		})
	}
}

func TestStoreWritesFilesOfFixedNames(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "a/b c", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	change(t, s, func(*State) {})
	if err := s.SaveLearned(balancer.LearnedState{}); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveEndpoints(&discovery.List{}); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	base := "fernlanding-a%2Fb%20c"
	if want := []string{base + ".json", base + ".json.endpoints", base + ".json.learned", base + ".lock"}; !slices.Equal(names, want) {
		t.Errorf("got %q, want %q", names, want)
	}
}

// lockedBytes returns the offsets of the locked bytes in the lock file.
func lockedBytes(t *testing.T, dir string) []int64 {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(dir, "fernlanding-n0.lock"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	const getOpenFileLock = 36 // F_OFD_GETLK
	var locked []int64
	for offset := range int64(64) {
		query := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: offset, Len: 1}
		if err := syscall.FcntlFlock(file.Fd(), getOpenFileLock, &query); err != nil {
			t.Fatal(err)
		}
		if query.Type != syscall.F_UNLCK {
			locked = append(locked, offset)
		}
	}
	return locked
}

// Other versions of the program lock and query the same bytes.
func TestStoreLocksFixedBytes(t *testing.T) {
	dir := t.TempDir()
	expect := func(when string, want ...int64) {
		t.Helper()
		if got := lockedBytes(t, dir); !slices.Equal(got, want) {
			t.Errorf("%s: %v are locked, want %v", when, got, want)
		}
	}
	first, second := openStore(t, dir), openStore(t, dir)
	expect("two processes", 1, 2)
	for _, s := range []*Store{first, second} {
		if err := s.StartAccepting(); err != nil {
			t.Fatal(err)
		}
	}
	expect("both processes accept", 1, 2, 9, 10)
	change(t, first, func(*State) { expect("during a change", 0, 1, 2, 9, 10) })
	first.StopAccepting()
	expect("the first stops accepting", 1, 2, 10)
	first.Close()
	expect("the first is closed", 2, 10)
	third := openStore(t, dir)
	if err := third.StartAccepting(); err != nil {
		t.Fatal(err)
	}
	expect("a third uses the free slot", 1, 2, 9, 10)
}
