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

// dialTCP returns a dialer that always connects to the given address.
func dialTCP(address string) discovery.Dialer {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}

func listen(t *testing.T, s *Service, location Location) *testClient {
	t.Helper()
	address, err := s.Listen(testList, location)
	if err != nil {
		t.Fatal(err)
	}
	return newTestClient(dialTCP(address))
}

// Another replica serves the client's next connection.
func TestKilledReplicaResetsTCPConnections(t *testing.T) {
	arrived := make(chan Observation, 16)
	config := testConfig(true)
	config.ReplicationDelay = 0
	config.OnRequest = func(o Observation) { arrived <- o }
	s := startService(t, config)
	c := listen(t, s, eastClient)
	version := c.mustGet(t, "").Index
	<-arrived
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.get(t.Context(), discovery.ListPath+watchQuery(version, time.Minute))
		ended <- err
	}()
	<-arrived
	must(t, s.Kill("r1"))
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the watch ended with %v, want a connection reset", err)
	}
	publish(t, s, "east", serving("s-1"))
	if l := c.mustGet(t, watchQuery(version, time.Minute)); !l.Snapshot || len(l.Endpoints) != 1 {
		t.Errorf("the next replica responds with %s", toJSON(t, l))
	}
}

// The client keeps receiving changes after its replica is killed.
func TestDiscoveryClientFollowsListOverTCP(t *testing.T) {
	for _, poll := range []bool{false, true} {
		t.Run("poll="+strconv.FormatBool(poll), func(t *testing.T) {
			config := testConfig(poll)
			config.ReplicationDelay = 0
			s := startService(t, config)
			address, err := s.Listen(testList, eastClient)
			if err != nil {
				t.Fatal(err)
			}
			updates, requests := make(chan discovery.Update), make(chan struct{}, 1)
			client := discovery.NewClient(discovery.Options{Address: address, Known: discovery.NoVersion, Poll: poll,
				Updates: updates, Requests: requests, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(3, 4))})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { client.Run(ctx) })
			have := endpointSet{}
			waitForEndpoint := func(name string) {
				for have[name].Name == "" {
					if u := <-updates; u.List != nil {
						have.apply(u.List)
					} else {
						requests <- struct{}{}
					}
				}
			}
			publish(t, s, "east", serving("s-1"))
			waitForEndpoint("s-1")
			must(t, s.Kill("r1"))
			publish(t, s, "west", serving("s-2"))
			waitForEndpoint("s-2")
			cancel()
			running.Wait()
			s.Close()
		})
	}
}

func TestThousandWatchesOverTCPGetChange(t *testing.T) {
	const clients = 1000
	config := testConfig(true)
	config.ReplicationDelay = 0
	var waiting sync.WaitGroup // until every client's watch has arrived
	waiting.Add(clients)
	config.OnRequest = func(o Observation) {
		if o.CompleteThrough != Unknown {
			waiting.Done()
		}
	}
	s := startService(t, config)
	var received sync.WaitGroup
	for i := range clients {
		location := clientsOfAllZones()[i%5]
		location.Name += strconv.Itoa(i)
		c := listen(t, s, location)
		c.transport.DisableKeepAlives = false // otherwise the watch might go to another replica
		received.Go(func() {
			version := c.mustGet(t, "").Index
			if l := c.mustGet(t, watchQuery(version, time.Minute)); len(l.Endpoints) != 1 {
				t.Errorf("client %d got %s", i, toJSON(t, l))
			}
		})
	}
	waiting.Wait()
	publish(t, s, "west", serving("s-1"))
	received.Wait()
}

// BenchmarkChange measures the time from publishing a change until 970 in-memory clients have it. It includes the cost of
// the clients.
func BenchmarkChange(b *testing.B) {
	const clients = 970
	config := testConfig(false)
	config.ReplicationDelay = 0
	s, err := New(config)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var received, running sync.WaitGroup // received: clients yet to get the current change
	defer running.Wait()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	received.Add(clients)
	for i := range clients {
		c := newTestClient(s.Dialer(testList, clientsOfAllZones()[i%5]))
		c.transport.DisableKeepAlives = false
		running.Go(func() {
			version := int64(0)
			for {
				_, l, err := c.get(ctx, discovery.ListPath+watchQuery(version, time.Minute))
				if err != nil {
					return // the benchmark is over
				}
				version = l.Index
				received.Done()
			}
		})
	}
	received.Wait()
	for b.Loop() {
		received.Add(clients)
		if _, err := s.Publish(testList, "east", serving("s-1")); err != nil {
			b.Fatal(err)
		}
		received.Wait()
	}
}

func TestListenAfterCloseGivesError(t *testing.T) {
	s := startService(t, testConfig(true))
	s.Close()
	if _, err := s.Listen(testList, eastClient); err == nil {
		t.Error("Listen after Close: no error")
	}
	if _, err := s.Dialer(testList, eastClient)(t.Context(), "tcp", "registry:80"); err == nil {
		t.Error("dial after Close: no error")
	}
}
