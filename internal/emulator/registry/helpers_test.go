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
	epsilon     = time.Millisecond
	testList    = "checkout"
)

// fourReplicas returns two replicas in each of two regions.
func fourReplicas() []ReplicaConfig {
	return []ReplicaConfig{
		{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "b", Region: "east"},
		{Name: "r3", Zone: "d", Region: "west"}, {Name: "r4", Zone: "e", Region: "west"},
	}
}

// clientsOfAllZones returns a client in each of five zones; zone c has no replica.
func clientsOfAllZones() []Location {
	return []Location{
		{Name: "in-a", Zone: "a", Region: "east"}, {Name: "in-b", Zone: "b", Region: "east"},
		{Name: "in-c", Zone: "c", Region: "east"},
		{Name: "in-d", Zone: "d", Region: "west"}, {Name: "in-e", Zone: "e", Region: "west"},
	}
}

func testConfig(poll bool) Config {
	return Config{Replicas: fourReplicas(), Poll: poll, ReplicationDelay: replication, Random: rand.New(rand.NewPCG(1, 2))}
}

// runInBothModes runs a test with a pushed and with a polled list, in a synctest bubble.
func runInBothModes(t *testing.T, run func(t *testing.T, poll bool)) {
	t.Helper()
	for _, poll := range []bool{false, true} {
		t.Run("poll="+strconv.FormatBool(poll), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, poll) })
		})
	}
}

func startService(t *testing.T, config Config) *Service {
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
	change, err := s.Publish(testList, region, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// memberSet is the list of a client, by name.
type memberSet map[string]discovery.Endpoint

func (m memberSet) apply(l *discovery.List) {
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

// watcher is a discovery client and the list that it has received.
type watcher struct {
	mu       sync.Mutex
	members  memberSet
	updates  int
	failures int
}

// watch starts a discovery client, which runs until the test ends.
func watch(t *testing.T, s *Service, of string, at Location) *watcher {
	t.Helper()
	w := &watcher{members: memberSet{}}
	ctx, cancel := context.WithCancel(context.Background())
	updates, requests := make(chan discovery.Update), make(chan struct{}, 1)
	client := discovery.NewClient(discovery.Options{Address: "registry:80", Known: discovery.NoVersion, Poll: s.config.Poll,
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
			if w.apply(u) {
				continue
			}
			time.Sleep(200 * time.Millisecond) // as the balancer backs off
			requests <- struct{}{}
		case <-ctx.Done():
			return
		}
	}
}

func (w *watcher) apply(u discovery.Update) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.List == nil {
		w.failures++
		return false
	}
	w.updates++
	w.members.apply(u.List)
	return true
}

func (w *watcher) has(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.members[name]
	return ok
}

func (w *watcher) snapshot() memberSet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.members)
}

func (w *watcher) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates
}

// advance advances the time of the bubble, and waits for what happens until then.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// testClient makes single requests, each on a connection of its own.
type testClient struct {
	http      http.Client
	transport *http.Transport
}

func newTestClient(dial discovery.Dialer) *testClient {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &testClient{http: http.Client{Transport: transport}, transport: transport}
}

// get makes a request.
func (c *testClient) get(ctx context.Context, target string) (status int, answer *discovery.List, err error) {
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

// mustGet makes a request whose response must be a list.
func (c *testClient) mustGet(t *testing.T, query string) *discovery.List {
	t.Helper()
	status, answer, err := c.get(t.Context(), discovery.MembersPath+query)
	if err != nil || status != http.StatusOK {
		t.Fatalf("%q: status %d, error %v", query, status, err)
	}
	return answer
}

func watchQuery(version int64, hold time.Duration) string {
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
