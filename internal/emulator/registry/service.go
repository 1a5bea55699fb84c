// Package registry is a stand-in for the discovery service: replicas that hold the lists of backends, replicate
// changes between them and answer the calls of clients in the form of the wire, over loopback TCP or in memory. It
// measures what the calls cost and fails on demand.
//
// A change is accepted by one replica, is durable from then on, and reaches the others after the replication delay, or
// once they are live and can be reached. Where two changes concern one endpoint, the one accepted later wins
// everywhere. Versions belong to one replica's log since its last start: a client that moves to another replica is
// told the whole list, so that it misses nothing. An address serves one list, and a version means nothing at the
// address of another.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"baylock/internal/discovery"
)

const (
	defaultQueueLimit = time.Second
	defaultLogLimit   = 1024

	readHeaderTimeout = time.Minute
	maxHeaderBytes    = 8 << 10
)

// NothingKnown is the change number of a client that is not known to have any list.
const NothingKnown int64 = -1

// ErrNoReplica says that no live replica could take a change.
var ErrNoReplica = errors.New("no live replica can be reached in the region")

var errClosed = errors.New("the service is closed")

// Location says who and where a client is.
type Location struct{ Name, Zone, Region string }

// ReplicaConfig describes one replica of the service.
type ReplicaConfig struct {
	Name, Zone, Region string
	CallsPerSecond     float64 // stated capacity, where calls are asked; 0: no limit
}

// Config describes the service.
type Config struct {
	Replicas []ReplicaConfig
	// Ask says that clients ask a shared service, whose replicas take calls in turn at their capacity. Otherwise the
	// list is pushed: an agent on each client's machine answers at once with what it has, and is silent while it
	// reaches no replica.
	Ask              bool
	ReplicationDelay time.Duration // until a change accepted by one replica reaches the others
	QueueLimit       time.Duration // with Ask: a call that would wait longer for its turn is refused; 0: 1 s
	LogLimit         int           // entries that a replica's log of one list holds; 0: 1024
	Random           *rand.Rand    // every random draw; only the service may use it from now on
	// Observe is called for each valid call as it arrives, by many goroutines; may be nil. It must not call Close.
	Observe func(Observation)
}

// Change is a change that the service has accepted.
type Change struct {
	List   string
	Number int64 // counts the accepted changes of all lists, from 1
	At     time.Time
}

// Observation tells what a client has, as seen from a call it makes.
type Observation struct {
	Client, List string
	// Complete is the number up to which every accepted change of the list is in what the client has, by the version
	// that it asks from. It is NothingKnown without a version, or with one that no log covers.
	Complete int64
	At       time.Time
}

// Service is the discovery service: its replicas, its clients and the faults in force.
type Service struct {
	config  Config
	server  *http.Server
	handoff *handoff
	closed  chan struct{}
	running sync.WaitGroup // accept loops, and the server's connections

	mu         sync.Mutex
	replicas   []*replica
	number     int64 // of the last change accepted
	epoch      int64 // the last one given to a replica's start
	deliveries []delivery
	conns      []*conn // in the order in which they came
	listeners  []net.Listener
	faults     faults
	topology   chan struct{} // closed and replaced when replicas or links come or go
}

// New starts a service with empty lists.
func New(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	if config.LogLimit == 0 {
		config.LogLimit = defaultLogLimit
	}
	s := &Service{config: config, handoff: newHandoff(), closed: make(chan struct{}), topology: make(chan struct{})}
	s.faults.cutZones = map[string]bool{}
	for _, c := range config.Replicas {
		s.epoch++
		s.replicas = append(s.replicas, newReplica(c, s.epoch, config.LogLimit))
	}
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serveCall), ConnContext: connContext, ConnState: s.trackConn,
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	s.running.Go(func() { _ = s.server.Serve(s.handoff) }) // ends with Close
	return s, nil
}

func (c Config) check() error {
	if len(c.Replicas) == 0 {
		return errors.New("a service needs a replica")
	}
	if c.Random == nil {
		return errors.New("a service needs a source of random draws")
	}
	if c.ReplicationDelay < 0 || c.QueueLimit < 0 || c.LogLimit < 0 {
		return errors.New("the replication delay and the limits of queue and log cannot be negative")
	}
	names := map[string]bool{}
	for _, r := range c.Replicas {
		if r.Name == "" || names[r.Name] {
			return fmt.Errorf("replica name %q is empty or used twice", r.Name)
		}
		if !(r.CallsPerSecond >= 0) {
			return fmt.Errorf("replica %q cannot take %v calls a second", r.Name, r.CallsPerSecond)
		}
		names[r.Name] = true
	}
	return nil
}

// Close ends the service, its listeners and its connections, and returns once all of its goroutines have ended.
func (s *Service) Close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	listeners, conns := s.listeners, slices.Clone(s.conns)
	s.listeners = nil
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // nothing is lost with it
	}
	_ = s.server.Close()
	for _, c := range conns { // the server may not have all of them yet
		_ = c.Close()
	}
	s.running.Wait()
}

func (s *Service) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Publish has a live replica of a region accept changes of a list's endpoints. An endpoint that is not on the list yet
// comes on it, and one of status Deleted leaves it.
func (s *Service) Publish(list, region string, changes ...discovery.Endpoint) (Change, error) {
	if err := checkChanges(changes); err != nil {
		return Change{}, fmt.Errorf("publish on list %q: %w", list, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return Change{}, errClosed
	}
	origin := s.acceptingReplica(region)
	if origin == nil {
		return Change{}, fmt.Errorf("publish on list %q in region %q: %w", list, region, ErrNoReplica)
	}
	s.number++
	change := Change{List: list, Number: s.number, At: time.Now()}
	for _, r := range s.replicas {
		r.list(list).expect(change.Number)
	}
	origin.list(list).apply(change.Number, changes)
	s.replicate(change, changes, origin)
	return change, nil
}

// checkChanges takes only what a client can read.
func checkChanges(changes []discovery.Endpoint) error {
	if len(changes) == 0 {
		return errors.New("no changes")
	}
	data, err := json.Marshal(discovery.List{Endpoints: changes})
	if err != nil {
		return err
	}
	if _, err := discovery.ParseList(data); err != nil {
		return err
	}
	names := make(map[string]bool, len(changes))
	for _, e := range changes {
		if names[e.Name] {
			return fmt.Errorf("endpoint %q is named twice", e.Name)
		}
		names[e.Name] = true
	}
	return nil
}

// acceptingReplica draws one of the live replicas of a region whose zones are not cut off.
func (s *Service) acceptingReplica(region string) *replica {
	var able []*replica
	for _, r := range s.replicas {
		if r.live && r.Region == region && !s.faults.cutZones[r.Zone] {
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[s.config.Random.IntN(len(able))]
}
