package registry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
)

var eastClient = Location{Name: "in-a", Zone: "a", Region: "east"}

// oneReplicaConfig returns the configuration of a service whose only replica is r1.
func oneReplicaConfig(poll bool) Config {
	config := testConfig(poll)
	config.Replicas = config.Replicas[:1]
	return config
}

func TestRequestWithoutVersionGetsSnapshot(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		if l := c.mustGet(t, ""); !l.Snapshot || len(l.Endpoints) != 0 {
			t.Errorf("before any change: %s", toJSON(t, l))
		}
		weight := 1.5
		second := serving("s-2")
		second.Weight, second.Cell, second.SinceMs, second.Status = &weight, 3, 17, discovery.Draining
		publish(t, s, "east", second, serving("s-1"))
		l := c.mustGet(t, "")
		want := `[{"name":"s-1","address":"10.0.0.1:80","zone":"a","group":0,"status":"SERVING","since_ms":0},` +
			`{"name":"s-2","address":"10.0.0.1:80","zone":"a","group":3,"status":"DRAINING","weight":1.5,"since_ms":17}]`
		if got := toJSON(t, l.Endpoints); !l.Snapshot || got != want {
			t.Errorf("snapshot %t, endpoints\n%s, want\n%s", l.Snapshot, got, want)
		}
	})
}

// The response contains each changed endpoint once, in its current state.
func TestWatchGetsChangesSinceVersion(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		publish(t, s, "east", serving("s-1"), serving("s-2"), serving("s-3"))
		version := c.mustGet(t, "").Index
		draining := serving("s-1")
		draining.Status = discovery.Draining
		publish(t, s, "east", draining)
		publish(t, s, "east", deleted("s-2"))
		publish(t, s, "east", deleted("s-1"))
		advance(replicationDelay + epsilon) // tombstones are dropped by then

		l := c.mustGet(t, watchQuery(version, time.Second))
		want := toJSON(t, []discovery.Endpoint{deleted("s-1"), deleted("s-2")})
		if got := toJSON(t, l.Endpoints); l.Snapshot || got != want || l.Index <= version {
			t.Errorf("after version %d: %s, want endpoints %s", version, toJSON(t, l), want)
		}
		if snapshot := c.mustGet(t, ""); len(snapshot.Endpoints) != 1 || snapshot.Index != l.Index {
			t.Errorf("got snapshot %s, want one endpoint and the version of the changes", toJSON(t, snapshot))
		}
	})
}

func TestWatchRespondsToChangeOrAfterHold(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		version := c.mustGet(t, "").Index
		for _, x := range []struct {
			hold, want time.Duration
		}{{0, 0}, {1500 * time.Millisecond, 1500 * time.Millisecond}, {61 * time.Second, 60 * time.Second}} {
			began := time.Now()
			l := c.mustGet(t, watchQuery(version, x.hold))
			if took := time.Since(began); took != x.want || l.Snapshot || len(l.Endpoints) > 0 || l.Index != version {
				t.Errorf("hold %v: %s after %v", x.hold, toJSON(t, l), took)
			}
		}
		time.AfterFunc(700*time.Millisecond, func() {
			if _, err := s.Publish(testList, "east", serving("s-1")); err != nil {
				t.Error(err)
			}
		})
		began := time.Now()
		l := c.mustGet(t, watchQuery(version, 5*time.Second))
		if took := time.Since(began); took != 700*time.Millisecond || len(l.Endpoints) != 1 {
			t.Errorf("%s after %v", toJSON(t, l), took)
		}
	})
}

func TestWatchFromUncoveredVersionGetsSnapshot(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		config := testConfig(poll)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		config.LogLimit = 4
		s := startService(t, config)
		c := newTestClient(s.Dialer(testList, eastClient))
		fresh := c.mustGet(t, "").Index
		for i := range 3 {
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		covered := c.mustGet(t, "").Index
		for i := range 4 {
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		advance(replicationDelay + epsilon)
		other := newTestClient(s.Dialer(testList, Location{Zone: "d", Region: "west"})).mustGet(t, "").Index
		must(t, s.Kill("r1"))
		must(t, s.Restart("r1"))
		earlier := c.mustGet(t, "").Index // where the list is pushed, the agent is now attached to r2
		must(t, s.Kill("r2"))
		publish(t, s, "east", serving("s-4"))
		now := c.mustGet(t, "").Index

		for name, version := range map[string]int64{"fresh": fresh, "covered": covered, "other": other,
			"future": now + 1, "zero": 0, "huge": 1<<63 - 1} {
			began := time.Now()
			l := c.mustGet(t, watchQuery(version, time.Minute))
			if time.Since(began) != 0 || !l.Snapshot || len(l.Endpoints) != 5 || l.Index != now {
				t.Errorf("%s version %d: %s after %v", name, version, toJSON(t, l), time.Since(began))
			}
		}
		if poll {
			if l := c.mustGet(t, watchQuery(earlier, time.Minute)); l.Snapshot || len(l.Endpoints) != 1 {
				t.Errorf("version %d of the current log: got %s, want one change", earlier, toJSON(t, l))
			}
		}
	})
}

func TestLogLimitBoundsCoveredVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplicaConfig(true)
		config.LogLimit = 4
		s := startService(t, config)
		c := newTestClient(s.Dialer(testList, eastClient))
		var versions []int64
		for i := range 10 {
			versions = append(versions, c.mustGet(t, "").Index)
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		for i, version := range versions {
			l := c.mustGet(t, watchQuery(version, 0))
			if snapshot := i < 6; l.Snapshot != snapshot || len(l.Endpoints) != 10-i && !snapshot {
				t.Errorf("version %d changes back: snapshot %t, %d endpoints", 10-i, l.Snapshot, len(l.Endpoints))
			}
		}
	})
}

// Tombstones are also dropped if a replica was down when the endpoints were deleted.
func TestTombstonesAreDroppedOnceReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, testConfig(true))
		publish(t, s, "east", serving("stays"))
		must(t, s.Kill("r4"))
		for i := range 100 {
			name := "s-" + strconv.Itoa(i)
			publish(t, s, "east", serving(name))
			publish(t, s, "west", deleted(name))
		}
		advance(replicationDelay + epsilon)
		must(t, s.Restart("r4"))
		advance(replicationDelay + epsilon)
		for _, r := range s.replicas {
			l := r.list(testList)
			if len(l.records) != 1 || len(l.missing) != 0 {
				t.Errorf("replica %s has %d records and is missing %d changes, want 1 and 0",
					r.Name, len(l.records), len(l.missing))
			}
		}
	})
}

func TestInvalidRequestGetsErrorStatus(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		for target, want := range map[string]int{
			"/":                                                 http.StatusNotFound,
			"/catalog":                                          http.StatusNotFound,
			"/catalog/members/":                                 http.StatusNotFound,
			"/catalog/members?from=":                            http.StatusBadRequest,
			"/catalog/members?from=-1":                          http.StatusBadRequest,
			"/catalog/members?from=x":                           http.StatusBadRequest,
			"/catalog/members?from=1.5":                         http.StatusBadRequest,
			"/catalog/members?from=%zz":                         http.StatusBadRequest,
			"/catalog/members?hold_ms=10":                       http.StatusBadRequest,
			"/catalog/members?from=1&hold_ms=-1":                http.StatusBadRequest,
			"/catalog/members?from=1&hold_ms=1s":                http.StatusBadRequest,
			"/catalog/members?from=1&from=2&hold_ms=1":          http.StatusBadRequest,
			"/catalog/members?from=1&hold_ms=1&hold_ms=1":       http.StatusBadRequest,
			"/catalog/members?from=99999999999999999999":        http.StatusBadRequest,
			"/catalog/members?from=1&hold_ms=9999999999999":     http.StatusOK,
			"/catalog/members?from=1":                           http.StatusOK,
			"/catalog/members":                                  http.StatusOK,
			"/catalog/members?from=1&hold_ms=" + veryLongNumber: http.StatusBadRequest,
		} {
			if status, _, err := c.get(t.Context(), target); err != nil || status != want {
				t.Errorf("%.60s: got status %d, error %v, want status %d", target, status, err, want)
			}
		}
		resp, err := c.http.Post("http://registry"+discovery.ListPath, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("POST: status %d", resp.StatusCode)
		}
	})
}

var veryLongNumber = strings.Repeat("9", 1000)

func TestNewInvalidConfigGivesError(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
		want   string // substring of the error
	}{
		{"no replicas", func(c *Config) { c.Replicas = nil }, "Replicas"},
		{"no random source", func(c *Config) { c.Random = nil }, "Random"},
		{"duplicate name", func(c *Config) { c.Replicas[1].Name = "r1" }, `"r1"`},
		{"empty name", func(c *Config) { c.Replicas[1].Name = "" }, `""`},
		{"negative capacity", func(c *Config) { c.Replicas[1].RequestRate = -1 }, "RequestRate"},
		{"negative delay", func(c *Config) { c.ReplicationDelay = -1 }, "ReplicationDelay -1"},
		{"negative queue limit", func(c *Config) { c.QueueLimit = -1 }, "QueueLimit -1"},
		{"negative log limit", func(c *Config) { c.LogLimit = -1 }, "LogLimit -1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig(true)
			test.change(&config)
			s, err := New(config)
			if err == nil {
				s.Close()
			}
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %s in it", err, test.want)
			}
		})
	}
}

func TestPublishInvalidChangeGivesError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, testConfig(true))
		noName, badAddress, badStatus, badWeight := serving(""), serving("s-1"), serving("s-1"), serving("s-1")
		badAddress.Address, badStatus.Status = "nowhere", "ODD"
		infinite := 1e308
		infinite *= 10
		badWeight.Weight = &infinite
		for name, changes := range map[string][]discovery.Endpoint{"no changes": nil, "no name": {noName},
			"invalid address": {badAddress}, "unknown status": {badStatus}, "infinite weight": {badWeight},
			"duplicate endpoint": {serving("s-1"), deleted("s-1")}} {
			if _, err := s.Publish(testList, "east", changes...); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
		if _, err := s.Publish(testList, "north", serving("s-1")); err == nil {
			t.Error("region without replicas: no error")
		}
		if first := publish(t, s, "east", serving("s-1")); first.Number != 1 || first.List != testList {
			t.Errorf("first accepted change is %+v", first)
		}
		if l := newTestClient(s.Dialer(testList, eastClient)).mustGet(t, ""); len(l.Endpoints) > 1 {
			t.Errorf("list is %s", toJSON(t, l))
		}
		s.Close()
		if _, err := s.Publish(testList, "east", serving("s-1")); err == nil {
			t.Error("closed service: no error")
		}
	})
}

// CompleteThrough is also known for a version of a replica other than the one that gets the request.
func TestObservationCompleteThroughMatchesVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		var seen []Observation
		config.OnRequest = func(o Observation) { seen = append(seen, o) }
		s := startService(t, config)
		c := newTestClient(s.Dialer(testList, eastClient))
		expect := func(query string, completeThrough int64) int64 {
			t.Helper()
			version := c.mustGet(t, query).Index
			want := Observation{Client: "in-a", List: testList, CompleteThrough: completeThrough, At: time.Now()}
			if got := seen[len(seen)-1]; got != want {
				t.Errorf("%q: observed %+v, want %+v", query, got, want)
			}
			return version
		}
		empty := expect("", Unknown)
		expect(watchQuery(empty, 0), 0)
		publish(t, s, "east", serving("s-1"))
		one := expect(watchQuery(empty, 0), 0)
		expect(watchQuery(one, 0), 1)
		if _, err := s.Publish("search", "west", serving("t-1")); err != nil {
			t.Fatal(err)
		}
		publish(t, s, "west", serving("s-2")) // the third change, not yet replicated to r1
		publish(t, s, "east", serving("s-3"))
		four := expect(watchQuery(one, 0), 2)
		expect(watchQuery(four, 0), 2)
		advance(replicationDelay + epsilon)
		expect(watchQuery(four, 0), 2)
		all := expect("", Unknown)
		expect(watchQuery(all, 0), 4)
		expect(watchQuery(all+1, 0), Unknown)
		must(t, s.Kill("r1"))
		expect(watchQuery(all, 0), 4)
		must(t, s.Restart("r1"))
		expect(watchQuery(all, 0), Unknown)
	})
}

func TestConnectionOfCancelledWatchIsRemoved(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		version := c.mustGet(t, "").Index
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, _, err := c.get(ctx, discovery.ListPath+watchQuery(version, time.Minute))
			done <- err
		}()
		synctest.Wait()
		if n := len(s.conns); n != 1 {
			t.Errorf("%d connections during a watch, want 1", n)
		}
		cancel()
		if err := <-done; err == nil {
			t.Error("the cancelled watch got a response")
		}
		synctest.Wait()
		if n := len(s.conns); n != 0 {
			t.Errorf("%d connections after the watch, want 0", n)
		}
	})
}
