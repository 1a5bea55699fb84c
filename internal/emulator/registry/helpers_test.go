package registry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
)

const (
	replication = 50 * time.Millisecond
	moment      = time.Millisecond
	list        = "checkout"
)

// fourReplicas are two in each of two regions, which have five zones.
func fourReplicas() []ReplicaConfig {
	return []ReplicaConfig{
		{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "b", Region: "east"},
		{Name: "r3", Zone: "d", Region: "west"}, {Name: "r4", Zone: "e", Region: "west"},
	}
}

// oneInEachZone are clients, of which the one in zone c has no replica there.
func oneInEachZone() []Location {
	return []Location{
		{Name: "in-a", Zone: "a", Region: "east"}, {Name: "in-b", Zone: "b", Region: "east"},
		{Name: "in-c", Zone: "c", Region: "east"},
		{Name: "in-d", Zone: "d", Region: "west"}, {Name: "in-e", Zone: "e", Region: "west"},
	}
}

func testConfig(ask bool) Config {
	return Config{Replicas: fourReplicas(), Ask: ask, ReplicationDelay: replication, Random: rand.New(rand.NewPCG(1, 2))}
}

// inBothModes runs a test with a service that is asked and one that pushes, in a synctest bubble.
func inBothModes(t *testing.T, run func(t *testing.T, ask bool)) {
	for _, ask := range []bool{false, true} {
		t.Run("ask="+strconv.FormatBool(ask), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, ask) })
		})
	}
}

func start(t *testing.T, config Config) *Service {
	t.Helper()
	s, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func serving(name string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: "10.0.0.1:80", Zone: "a", Status: discovery.Serving}
}

func deleted(name string) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Status: discovery.Deleted}
}

func publish(t *testing.T, s *Service, region string, changes ...discovery.Endpoint) Change {
	t.Helper()
	change, err := s.Publish(list, region, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func do(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// members is a list as a client has it.
type members map[string]discovery.Endpoint

func (m members) take(l *discovery.List) {
	if l.Snapshot {
		clear(m)
	}
	for _, e := range l.Endpoints {
		if e.Status == discovery.Deleted {
			delete(m, e.Name)
		} else {
			m[e.Name] = e
		}
	}
}

// watcher is a client of the service with the list that it has put together.
type watcher struct {
	mu       sync.Mutex
	have     members
	answers  int
	failures int
}

// watch starts a real client of discovery, which lasts until the test ends.
func watch(t *testing.T, s *Service, of string, at Location) *watcher {
	t.Helper()
	w := &watcher{have: members{}}
	ctx, cancel := context.WithCancel(context.Background())
	updates, requests := make(chan discovery.Update), make(chan struct{}, 1)
	client := discovery.NewClient(discovery.Options{Address: "registry:80", Known: discovery.NoVersion, Poll: s.config.Ask,
		Updates: updates, Requests: requests, Log: slog.New(slog.DiscardHandler), Dial: s.Dialer(of, at),
		Random: rand.New(rand.NewPCG(3, 4))})
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx) })
	running.Go(func() { w.run(ctx, updates, requests) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return w
}

func (w *watcher) run(ctx context.Context, updates <-chan discovery.Update, requests chan<- struct{}) {
	for {
		select {
		case u := <-updates:
			if w.take(u) {
				continue
			}
			time.Sleep(200 * time.Millisecond) // as the decision module rests
			requests <- struct{}{}
		case <-ctx.Done():
			return
		}
	}
}

func (w *watcher) take(u discovery.Update) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.List == nil {
		w.failures++
		return false
	}
	w.answers++
	w.have.take(u.List)
	return true
}

func (w *watcher) has(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.have[name]
	return ok
}

func (w *watcher) list() members {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.have)
}

func (w *watcher) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers
}

// after lets time pass in the bubble, and what is due by then happen.
func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// caller makes single calls, each on a connection of its own.
type caller struct {
	http      http.Client
	transport *http.Transport
}

func newCaller(dial discovery.Dialer) *caller {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &caller{http: http.Client{Transport: transport}, transport: transport}
}

// get makes a call with a query, or none if it is empty.
func (c *caller) get(ctx context.Context, target string) (status int, answer *discovery.List, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://registry"+target, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil, err
	}
	answer, err = discovery.ParseList(data)
	return resp.StatusCode, answer, err
}

// ask makes a call that has to be answered with a list.
func (c *caller) ask(t *testing.T, query string) *discovery.List {
	t.Helper()
	status, answer, err := c.get(t.Context(), discovery.MembersPath+query)
	if err != nil || status != http.StatusOK {
		t.Fatalf("%q: status %d, error %v", query, status, err)
	}
	return answer
}

func fromVersion(version int64, hold time.Duration) string {
	return "?" + discovery.FromQuery + "=" + strconv.FormatInt(version, 10) +
		"&" + discovery.HoldQuery + "=" + strconv.FormatInt(hold.Milliseconds(), 10)
}

func toJSON(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
