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
	replicationDelay = 50 * time.Millisecond
	epsilon          = time.Millisecond // margin before or after the end of a delay
	testList         = "checkout"
)

// fourReplicas returns two replicas in each of two regions.
func fourReplicas() []ReplicaConfig {
	return []ReplicaConfig{
		{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "b", Region: "east"},
		{Name: "r3", Zone: "d", Region: "west"}, {Name: "r4", Zone: "e", Region: "west"},
	}
}

// clientsOfAllZones returns the locations of five clients, one in each zone. Zone c has no replica.
func clientsOfAllZones() []Location {
	return []Location{
		{Name: "in-a", Zone: "a", Region: "east"}, {Name: "in-b", Zone: "b", Region: "east"},
		{Name: "in-c", Zone: "c", Region: "east"},
		{Name: "in-d", Zone: "d", Region: "west"}, {Name: "in-e", Zone: "e", Region: "west"},
	}
}

func testConfig(poll bool) Config {
	return Config{Replicas: fourReplicas(), Poll: poll, ReplicationDelay: replicationDelay,
		Random: rand.New(rand.NewPCG(1, 2))}
}

// runInBothModes runs a test in a synctest bubble, once with a pushed and once with a polled list.
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

// endpointSet is a client's copy of an endpoint list, by endpoint name.
type endpointSet map[string]discovery.Endpoint

func (m endpointSet) apply(l *discovery.List) {
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

// watcher stores the list that a discovery client has received, and counts its updates and failures.
type watcher struct {
	mu        sync.Mutex
	endpoints endpointSet
	updates   int
	failures  int
}

// watch starts a discovery client that runs until the test ends, and returns its watcher.
func watch(t *testing.T, s *Service, list string, location Location) *watcher {
	t.Helper()
	w := &watcher{endpoints: endpointSet{}}
	ctx, cancel := context.WithCancel(context.Background())
	updates, requests := make(chan discovery.Update), make(chan struct{}, 1)
	client := discovery.NewClient(discovery.Options{Address: "registry:80", Known: discovery.NoVersion, Poll: s.config.Poll,
		Updates: updates, Requests: requests, Log: slog.New(slog.DiscardHandler), Dial: s.Dialer(list, location),
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
			time.Sleep(200 * time.Millisecond) // like the backoff of the balancer
			requests <- struct{}{}
		case <-ctx.Done():
			return
		}
	}
}

// apply applies an update to the watcher's list. It returns false if the update reports a failure.
func (w *watcher) apply(u discovery.Update) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.List == nil {
		w.failures++
		return false
	}
	w.updates++
	w.endpoints.apply(u.List)
	return true
}

func (w *watcher) has(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.endpoints[name]
	return ok
}

func (w *watcher) snapshot() endpointSet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.endpoints)
}

func (w *watcher) updateCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates
}

// advance moves the bubble's clock forward, and waits until all goroutines that became runnable have blocked again.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// testClient makes single requests. By default, each uses a new connection.
type testClient struct {
	http      http.Client
	transport *http.Transport
}

func newTestClient(dial discovery.Dialer) *testClient {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &testClient{http: http.Client{Transport: transport}, transport: transport}
}

// get sends a GET request for a path and query. The list is nil unless the status is 200.
func (c *testClient) get(ctx context.Context, target string) (status int, list *discovery.List, err error) {
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
	list, err = discovery.ParseList(data)
	return resp.StatusCode, list, err
}

// mustGet requests the list and fails the test if the response is not a list.
func (c *testClient) mustGet(t *testing.T, query string) *discovery.List {
	t.Helper()
	status, list, err := c.get(t.Context(), discovery.ListPath+query)
	if err != nil || status != http.StatusOK {
		t.Fatalf("query %q: status %d, error %v", query, status, err)
	}
	return list
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
