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

var inEast = Location{Name: "in-a", Zone: "a", Region: "east"}

// oneReplica is the service with r1 only.
func oneReplica(ask bool) Config {
	config := testConfig(ask)
	config.Replicas = config.Replicas[:1]
	return config
}

func TestWholeListWithoutQuery(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
		if l := c.ask(t, ""); !l.Snapshot || len(l.Endpoints) != 0 {
			t.Errorf("before any change: %s", toJSON(t, l))
		}
		weight := 1.5
		second := serving("s-2")
		second.Weight, second.Cell, second.SinceMs, second.Status = &weight, 3, 17, discovery.Draining
		publish(t, s, "east", second, serving("s-1"))
		l := c.ask(t, "")
		want := `[{"name":"s-1","address":"10.0.0.1:80","zone":"a","group":0,"status":"SERVING","since_ms":0},` +
			`{"name":"s-2","address":"10.0.0.1:80","zone":"a","group":3,"status":"DRAINING","weight":1.5,"since_ms":17}]`
		if got := toJSON(t, l.Endpoints); !l.Snapshot || got != want {
			t.Errorf("snapshot %t, endpoints\n%s, want\n%s", l.Snapshot, got, want)
		}
	})
}

// A watch is answered with what has changed since its version, each endpoint once and as it is now.
func TestChangesSinceVersion(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
		publish(t, s, "east", serving("s-1"), serving("s-2"), serving("s-3"))
		version := c.ask(t, "").Index
		draining := serving("s-1")
		draining.Status = discovery.Draining
		publish(t, s, "east", draining)
		publish(t, s, "east", deleted("s-2"))
		publish(t, s, "east", deleted("s-1"))
		after(replication + moment) // and what is deleted has been forgotten

		l := c.ask(t, fromVersion(version, time.Second))
		want := toJSON(t, []discovery.Endpoint{deleted("s-1"), deleted("s-2")})
		if got := toJSON(t, l.Endpoints); l.Snapshot || got != want || l.Index <= version {
			t.Errorf("after version %d: %s, want endpoints %s", version, toJSON(t, l), want)
		}
		if whole := c.ask(t, ""); len(whole.Endpoints) != 1 || whole.Index != l.Index {
			t.Errorf("whole list is %s", toJSON(t, whole))
		}
	})
}

// A watch waits for news, is released by it at once, and otherwise is answered with none after its wait.
func TestWatchWaits(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
		version := c.ask(t, "").Index
		for _, x := range []struct {
			hold, want time.Duration
		}{{0, 0}, {1500 * time.Millisecond, 1500 * time.Millisecond}, {61 * time.Second, 60 * time.Second}} {
			began := time.Now()
			l := c.ask(t, fromVersion(version, x.hold))
			if took := time.Since(began); took != x.want || l.Snapshot || len(l.Endpoints) > 0 || l.Index != version {
				t.Errorf("hold %v: %s after %v", x.hold, toJSON(t, l), took)
			}
		}
		time.AfterFunc(700*time.Millisecond, func() {
			if _, err := s.Publish(list, "east", serving("s-1")); err != nil {
				t.Error(err)
			}
		})
		began := time.Now()
		l := c.ask(t, fromVersion(version, 5*time.Second))
		if took := time.Since(began); took != 700*time.Millisecond || len(l.Endpoints) != 1 {
			t.Errorf("%s after %v", toJSON(t, l), took)
		}
	})
}

// A version that the log does not cover is answered with the whole list at once.
func TestWholeListForUnknownVersion(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		config := testConfig(ask)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		config.LogLimit = 4
		s := start(t, config)
		c := newCaller(s.Dialer(list, inEast))
		fresh := c.ask(t, "").Index
		for i := range 3 {
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		covered := c.ask(t, "").Index
		for i := range 4 {
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		after(replication + moment)
		other := newCaller(s.Dialer(list, Location{Zone: "d", Region: "west"})).ask(t, "").Index
		do(t, s.Kill("r1"))
		do(t, s.Restart("r1"))
		earlier := c.ask(t, "").Index // where the list is pushed, the agent now follows r2
		do(t, s.Kill("r2"))
		publish(t, s, "east", serving("s-4"))
		now := c.ask(t, "").Index

		for name, version := range map[string]int64{"fresh": fresh, "covered": covered, "other": other,
			"future": now + 1, "zero": 0, "huge": 1<<63 - 1} {
			began := time.Now()
			l := c.ask(t, fromVersion(version, time.Minute))
			if time.Since(began) != 0 || !l.Snapshot || len(l.Endpoints) != 5 || l.Index != now {
				t.Errorf("%s version %d: %s after %v", name, version, toJSON(t, l), time.Since(began))
			}
		}
		if ask {
			if l := c.ask(t, fromVersion(earlier, time.Minute)); l.Snapshot || len(l.Endpoints) != 1 {
				t.Errorf("version %d of this log: %s", earlier, toJSON(t, l))
			}
		}
	})
}

// The log's limit bounds what it covers.
func TestLogLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplica(true)
		config.LogLimit = 4
		s := start(t, config)
		c := newCaller(s.Dialer(list, inEast))
		var versions []int64
		for i := range 10 {
			versions = append(versions, c.ask(t, "").Index)
			publish(t, s, "east", serving("s-"+strconv.Itoa(i)))
		}
		for i, version := range versions {
			l := c.ask(t, fromVersion(version, 0))
			if whole := i < 6; l.Snapshot != whole || len(l.Endpoints) != 10-i && !whole {
				t.Errorf("version %d changes back: snapshot %t, %d endpoints", 10-i, l.Snapshot, len(l.Endpoints))
			}
		}
	})
}

// What has been deleted leaves nothing behind once every replica knows, also where one was down meanwhile.
func TestDeletedEndpointsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, testConfig(true))
		publish(t, s, "east", serving("stays"))
		do(t, s.Kill("r4"))
		for i := range 100 {
			name := "s-" + strconv.Itoa(i)
			publish(t, s, "east", serving(name))
			publish(t, s, "west", deleted(name))
		}
		after(replication + moment)
		do(t, s.Restart("r4"))
		after(replication + moment)
		for _, r := range s.replicas {
			l := r.list(list)
			if len(l.records) != 1 || len(l.missing) != 0 {
				t.Errorf("%s holds %d records and misses %d changes", r.Name, len(l.records), len(l.missing))
			}
		}
	})
}

func TestBadCalls(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
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
				t.Errorf("%.60s: status %d, error %v, want %d", target, status, err, want)
			}
		}
		resp, err := c.http.Post("http://registry"+discovery.MembersPath, "text/plain", strings.NewReader("x"))
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

func TestBadConfigs(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no replicas":       func(c *Config) { c.Replicas = nil },
		"no random draws":   func(c *Config) { c.Random = nil },
		"name twice":        func(c *Config) { c.Replicas[1].Name = "r1" },
		"no name":           func(c *Config) { c.Replicas[1].Name = "" },
		"negative capacity": func(c *Config) { c.Replicas[1].CallsPerSecond = -1 },
		"negative delay":    func(c *Config) { c.ReplicationDelay = -1 },
		"negative queue":    func(c *Config) { c.QueueLimit = -1 },
		"negative log":      func(c *Config) { c.LogLimit = -1 },
	} {
		config := testConfig(true)
		spoil(&config)
		if s, err := New(config); err == nil {
			s.Close()
			t.Errorf("%s was taken", name)
		}
	}
}

func TestBadChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, testConfig(true))
		nameless, lost, odd, huge := serving(""), serving("s-1"), serving("s-1"), serving("s-1")
		lost.Address, odd.Status = "nowhere", "ODD"
		infinite := 1e308
		infinite *= 10
		huge.Weight = &infinite
		for name, changes := range map[string][]discovery.Endpoint{"none": nil, "nameless": {nameless}, "lost": {lost},
			"odd": {odd}, "huge": {huge}, "twice": {serving("s-1"), deleted("s-1")}} {
			if _, err := s.Publish(list, "east", changes...); err == nil {
				t.Errorf("%s was accepted", name)
			}
		}
		if _, err := s.Publish(list, "north", serving("s-1")); err == nil {
			t.Error("a region without replicas accepted a change")
		}
		if first := publish(t, s, "east", serving("s-1")); first.Number != 1 || first.List != list {
			t.Errorf("first change accepted is %+v", first)
		}
		if l := newCaller(s.Dialer(list, inEast)).ask(t, ""); len(l.Endpoints) > 1 {
			t.Errorf("list is %s", toJSON(t, l))
		}
		s.Close()
		if _, err := s.Publish(list, "east", serving("s-1")); err == nil {
			t.Error("a closed service accepted a change")
		}
	})
}

// Observations tell up to which change a client's list is complete, whichever replica it got it from.
func TestObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig(true)
		config.Replicas = []ReplicaConfig{{Name: "r1", Zone: "a", Region: "east"}, {Name: "r2", Zone: "d", Region: "west"}}
		var seen []Observation
		config.Observe = func(o Observation) { seen = append(seen, o) }
		s := start(t, config)
		c := newCaller(s.Dialer(list, inEast))
		expect := func(query string, complete int64) int64 {
			t.Helper()
			version := c.ask(t, query).Index
			want := Observation{Client: "in-a", List: list, Complete: complete, At: time.Now()}
			if got := seen[len(seen)-1]; got != want {
				t.Errorf("%q: observed %+v, want %+v", query, got, want)
			}
			return version
		}
		empty := expect("", NothingKnown)
		expect(fromVersion(empty, 0), 0)
		publish(t, s, "east", serving("s-1"))
		one := expect(fromVersion(empty, 0), 0)
		expect(fromVersion(one, 0), 1)
		if _, err := s.Publish("search", "west", serving("t-1")); err != nil {
			t.Fatal(err)
		}
		publish(t, s, "west", serving("s-2")) // the third change, on its way
		publish(t, s, "east", serving("s-3"))
		four := expect(fromVersion(one, 0), 2)
		expect(fromVersion(four, 0), 2)
		after(replication + moment)
		expect(fromVersion(four, 0), 2)
		all := expect("", NothingKnown)
		expect(fromVersion(all, 0), 4)
		expect(fromVersion(all+1, 0), NothingKnown)
		do(t, s.Kill("r1"))
		expect(fromVersion(all, 0), 4)
		do(t, s.Restart("r1"))
		expect(fromVersion(all, 0), NothingKnown)
	})
}

// A client that goes away leaves nothing behind.
func TestClientsThatLeaveAreForgotten(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		c := newCaller(s.Dialer(list, inEast))
		version := c.ask(t, "").Index
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, _, err := c.get(ctx, discovery.MembersPath+fromVersion(version, time.Minute))
			done <- err
		}()
		synctest.Wait()
		if n := len(s.conns); n != 1 {
			t.Errorf("%d connections during a watch", n)
		}
		cancel()
		if err := <-done; err == nil {
			t.Error("a watch that was given up has an answer")
		}
		synctest.Wait()
		if n := len(s.conns); n != 0 {
			t.Errorf("%d connections after it", n)
		}
	})
}
