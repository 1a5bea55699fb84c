package registry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"baylock/internal/discovery"
)

// dialTCP is a dialer to a listener's address.
func dialTCP(address string) discovery.Dialer {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}

func listen(t *testing.T, s *Service, at Location) *caller {
	t.Helper()
	address, err := s.Listen(list, at)
	if err != nil {
		t.Fatal(err)
	}
	return newCaller(dialTCP(address))
}

// Over TCP, a killed replica resets its connections and the next one comes to another replica.
func TestKilledReplicaResetsTCP(t *testing.T) {
	arrived := make(chan Observation, 16)
	config := testConfig(true)
	config.ReplicationDelay = 0
	config.Observe = func(o Observation) { arrived <- o }
	s := start(t, config)
	c := listen(t, s, inEast)
	version := c.ask(t, "").Index
	<-arrived
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.get(t.Context(), discovery.MembersPath+fromVersion(version, time.Minute))
		ended <- err
	}()
	<-arrived
	do(t, s.Kill("r1"))
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the watch ended with %v", err)
	}
	publish(t, s, "east", serving("s-1"))
	if l := c.ask(t, fromVersion(version, time.Minute)); !l.Snapshot || len(l.Endpoints) != 1 {
		t.Errorf("the next replica tells %s", toJSON(t, l))
	}
}

// The real client of discovery follows the list over TCP, also from one replica to the next.
func TestRealClientOverTCP(t *testing.T) {
	for _, ask := range []bool{false, true} {
		config := testConfig(ask)
		config.ReplicationDelay = 0
		s := start(t, config)
		address, err := s.Listen(list, inEast)
		if err != nil {
			t.Fatal(err)
		}
		updates, requests := make(chan discovery.Update), make(chan struct{}, 1)
		client := discovery.NewClient(discovery.Options{Address: address, Known: discovery.NoVersion, Poll: ask,
			Updates: updates, Requests: requests, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(3, 4))})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { client.Run(ctx) })
		have := members{}
		awaitMember := func(name string) {
			for have[name].Name == "" {
				if u := <-updates; u.List != nil {
					have.take(u.List)
				} else {
					requests <- struct{}{}
				}
			}
		}
		publish(t, s, "east", serving("s-1"))
		awaitMember("s-1")
		do(t, s.Kill("r1"))
		publish(t, s, "west", serving("s-2"))
		awaitMember("s-2")
		cancel()
		running.Wait()
		s.Close()
	}
}

// A thousand clients watch over TCP and are all told of a change.
func TestManyClientsOverTCP(t *testing.T) {
	const clients = 1000
	config := testConfig(true)
	config.ReplicationDelay = 0
	var waiting sync.WaitGroup // until every client's watch has arrived
	waiting.Add(clients)
	config.Observe = func(o Observation) {
		if o.Complete != NothingKnown {
			waiting.Done()
		}
	}
	s := start(t, config)
	var told sync.WaitGroup
	for i := range clients {
		at := oneInEachZone()[i%5]
		at.Name += strconv.Itoa(i)
		c := listen(t, s, at)
		c.transport.DisableKeepAlives = false // or the second call may go to another replica
		told.Go(func() {
			version := c.ask(t, "").Index
			if l := c.ask(t, fromVersion(version, time.Minute)); len(l.Endpoints) != 1 {
				t.Errorf("client %d was told %s", i, toJSON(t, l))
			}
		})
	}
	waiting.Wait()
	publish(t, s, "west", serving("s-1"))
	told.Wait()
}

// One operation is a change that 970 clients in memory are told of: the service's cost and that of plain callers.
func BenchmarkChange(b *testing.B) {
	const clients = 970
	config := testConfig(false)
	config.ReplicationDelay = 0
	s, err := New(config)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var told, running sync.WaitGroup // of the change at hand, and of the clients
	defer running.Wait()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	told.Add(clients)
	for i := range clients {
		c := newCaller(s.Dialer(list, oneInEachZone()[i%5]))
		c.transport.DisableKeepAlives = false
		running.Go(func() {
			version := int64(0)
			for {
				_, l, err := c.get(ctx, discovery.MembersPath+fromVersion(version, time.Minute))
				if err != nil {
					return // the benchmark is over
				}
				version = l.Index
				told.Done()
			}
		})
	}
	told.Wait()
	for b.Loop() {
		told.Add(clients)
		if _, err := s.Publish(list, "east", serving("s-1")); err != nil {
			b.Fatal(err)
		}
		told.Wait()
	}
}

func TestListenAfterClose(t *testing.T) {
	s := start(t, testConfig(true))
	s.Close()
	if _, err := s.Listen(list, inEast); err == nil {
		t.Error("a closed service listens")
	}
	if _, err := s.Dialer(list, inEast)(t.Context(), "tcp", "registry:80"); err == nil {
		t.Error("a closed service takes connections")
	}
}
