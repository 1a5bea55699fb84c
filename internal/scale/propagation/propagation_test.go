package propagation

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
)

const testSeed = 20261202

// The latencies of the in-memory network.
const (
	minDelay    = 200 * time.Microsecond // one way
	delaySpread = 300 * time.Microsecond
)

// inMemory is a network without sockets. Each proxy has a different latency, so that no two requests arrive at the same
// time and their order does not depend on the scheduler.
func inMemory(s *registry.Service, list string, at registry.Location) (string, discovery.Dialer, error) {
	hash := fnv.New64a()
	hash.Write([]byte(at.Name))
	delay := minDelay + time.Duration(hash.Sum64()%uint64(delaySpread))
	dial := s.Dialer(list, at)
	return "discovery:1", func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(delay)
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &delayedConn{conn, delay}, nil
	}, nil
}

// delayedConn is a connection that delays each write.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// runInMemory runs a job of the small size in a synctest bubble.
func runInMemory(t *testing.T, j job) (m *measurement) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if m, err = j.run(t.Context(), scale.Env{}, smallSize(), inMemory); err != nil {
			t.Fatal(err)
		}
	})
	return m
}

// bounds limits a scenario's worst propagation time, in seconds. Where the fault must delay changes, min exceeds the
// replication delay.
type bounds struct{ min, max float64 }

// Scenarios whose faults do not delay changes need little more than the replication delay of 50 ms and some service
// time. A client detects a silent watch after the watch's hold time and a timeout: 2 s and 0.1 s where the list is
// pushed; 2.5 s and 0.5 s where it is polled, and then the request for the snapshot waits in the replica's queue. With
// polling, each failed request lengthens the hold time by a quarter and each response shortens it by 50 ms, so that
// repeated silences take more than the target of 3 s. While a zone is isolated, the watches of clients in other zones
// that are connected to its replica are silent.
var worstTimeBounds = map[string]bounds{
	"asked, regions apart and back":          {0.05, 0.5},
	"pushed, regions apart and back":         {0.05, 0.5},
	"asked, watches silent now and then":     {1.5, 3.8},
	"pushed, watches silent now and then":    {1.5, 2.3},
	"asked, watches silent again and again":  {1.5, 3.8},
	"pushed, watches silent again and again": {1.5, 2.3},
	"asked, calm":                            {0.05, 0.5},
	"pushed, calm":                           {0.05, 0.5},
	"asked, a replica killed and back":       {0.05, 1},
	"pushed, a replica killed and back":      {0.05, 0.5},
	"asked, a zone cut and back":             {0.2, 3.8},
	"pushed, a zone cut and back":            {0.05, 0.5},
	"asked, a zone's proxies start at once":  {0.05, 0.5},
	"pushed, a zone's proxies start at once": {0.05, 0.5},
	"asked, restarts of proxies":             {0.05, 0.5},
	"pushed, restarts of proxies":            {0.05, 0.5},
}

func TestScenariosStayWithinBounds(t *testing.T) {
	for _, j := range allJobs(testSeed) {
		t.Run(j.name(), func(t *testing.T) {
			m, bounds := runInMemory(t, j), worstTimeBounds[j.name()]
			if worst := m.times.inForce.quantile(1); worst < bounds.min || worst > bounds.max {
				t.Errorf("worst time %v s, want it within %v", worst, bounds)
			}
			if m.neverInForce != 0 {
				t.Errorf("%d of %d changes are not in force at the end", m.neverInForce, m.accepted)
			}
			if n := m.times.inForce.count(); n != m.accepted || n < 20 {
				t.Errorf("%d of %d changes were measured", n, m.accepted)
			}
			checkStarts(t, j, m)
		})
	}
}

// checkStarts checks the latencies of proxies that start during a scenario.
func checkStarts(t *testing.T, j job, m *measurement) {
	t.Helper()
	started := 0
	if j.scenario.lateZone != "" {
		started = smallSize().proxies / len(zones())
	}
	if n := m.times.startToList.count(); n != started {
		t.Errorf("%d starts were timed, want %d", n, started)
	}
	if worst := m.times.startToList.quantile(1); worst > 0.5 {
		t.Errorf("a proxy got its list after %v s", worst)
	}
	if worst := m.times.atStartedProxies.quantile(1); worst > 0.5 {
		t.Errorf("a change was in force at the started proxies after %v s", worst)
	}
}

func TestJobWithSameSeedRepeatsFigures(t *testing.T) {
	for _, j := range allJobs(testSeed) {
		t.Run(j.name(), func(t *testing.T) {
			first, second := runInMemory(t, j).figures(j.name()), runInMemory(t, j).figures(j.name())
			if len(first) != len(second) {
				t.Fatalf("first run returned %d figures, second run %d", len(first), len(second))
			}
			for i, f := range first {
				if f.Quantity != second[i].Quantity || f.Value != second[i].Value || f.Samples != second[i].Samples {
					t.Errorf("first run returned %+v, second run %+v", f, second[i])
				}
			}
		})
	}
}

func TestJobWithDifferentSeedGivesDifferentFigures(t *testing.T) {
	one, other := runInMemory(t, allJobs(testSeed)[0]), runInMemory(t, allJobs(testSeed + 1)[0])
	if one.times.inForce.quantile(1) == other.times.inForce.quantile(1) && one.accepted == other.accepted {
		t.Errorf("both seeds give %d changes and %v s", one.accepted, one.times.inForce.quantile(1))
	}
}

// synctest fails the test if a goroutine of the job does not end.
func TestJobEndsWithContext(t *testing.T) {
	for _, j := range allJobs(testSeed) {
		for _, after := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
			t.Run(j.name()+" after "+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), after)
					defer cancel()
					began := time.Now()
					_, err := j.run(ctx, scale.Env{}, smallSize(), inMemory)
					if took := time.Since(began); !errors.Is(err, context.DeadlineExceeded) || took > after+time.Second {
						t.Errorf("got error %v after %v", err, took)
					}
				})
			})
		}
	}
}

// tinySize returns a size for runs that take about ten seconds of real time.
func tinySize() size {
	s := smallSize()
	s.proxies = 10
	s.services = 2
	s.changeRate = 40
	s.startSpread = 10 * time.Millisecond
	s.parallel = 16
	s.beforeFault = 50 * time.Millisecond
	s.faultFree = time.Second
	s.outage = 200 * time.Millisecond
	s.partition = 200 * time.Millisecond
	s.afterFault = 500 * time.Millisecond
	s.restarts = 4
	s.restartSpan = 100 * time.Millisecond
	s.downTime = 50 * time.Millisecond
	// Longer than a watch and its timeout, so that the proxies watch again, and cause traffic, before the next silence.
	s.longSilenceInterval = 5 * time.Second
	s.shortSilenceInterval = 5 * time.Second
	return s
}

func TestRunJobsOverTCPGivesAllFigures(t *testing.T) {
	jobs := allJobs(testSeed)
	env := scale.Env{Seed: testSeed, Progress: func(string, ...any) {}}
	result, err := runJobs(t.Context(), env, tinySize(), jobs)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]map[string]scale.Figure{}
	for _, f := range result.Figures {
		if f.Quantity == "" || f.Unit == "" || f.Source != scale.HollowProxy {
			t.Errorf("figure %+v is incomplete", f)
		}
		if seen[f.Case] == nil {
			seen[f.Case] = map[string]scale.Figure{}
		}
		if _, duplicate := seen[f.Case][f.Quantity]; duplicate {
			t.Errorf("%s: duplicate figure %q", f.Case, f.Quantity)
		}
		seen[f.Case][f.Quantity] = f
	}
	for _, j := range jobs {
		figures := seen[j.name()]
		if f := figures["changes never in force"]; f.Value != 0 || f.Samples == 0 {
			t.Errorf("%s: want changes, all of them in force, got figure %+v", j.name(), f)
		}
		if f := figures["bytes of a proxy, mean of all"]; f.Value <= 0 || f.Target == nil {
			t.Errorf("%s: want bytes of a proxy with a target, got figure %+v", j.name(), f)
		}
		if f, ok := figures["calls at a replica, busiest second"]; ok != j.poll || j.poll && f.Value <= 0 {
			t.Errorf("%s: want calls at a replica if and only if lists are polled, got figure %+v", j.name(), f)
		}
	}
	if len(result.Notes) == 0 {
		t.Error("the result has no notes")
	}
}

func TestNotesStateSize(t *testing.T) {
	notes := strings.Join(fullSize().notes(), "\n")
	for _, want := range []string{"970 hollow proxies in 29 services", "5 zones", "2 regions", "98 times", "2200 a day"} {
		if !strings.Contains(notes, want) {
			t.Errorf("the notes do not state %q:\n%s", want, notes)
		}
	}
}
