// Package registry emulates the discovery service: replicas that store endpoint lists, replicate changes and serve
// clients in wire format, over loopback TCP or in memory. It counts the replicas' load and injects faults.
//
// A change is accepted by one replica, is durable from then on, and reaches the others after the replication delay, or
// once they are live and reachable. Of two changes of one endpoint, the one accepted later wins everywhere. Versions
// belong to one replica's log since its last start: a client that moves to another replica gets a snapshot, so that it
// misses nothing. An address serves one list, and its versions mean nothing at the address of another.
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

// Unknown is the Complete of an Observation whose client is not known to have any list.
const Unknown int64 = -1

// ErrNoReplica reports that no live replica of a region could accept a change.
var ErrNoReplica = errors.New("no live replica is reachable in the region")

var errClosed = errors.New("the service is closed")

// Location is a client's name and place in the network.
type Location struct{ Name, Zone, Region string }

// ReplicaConfig describes one replica of the service.
type ReplicaConfig struct {
	Name, Zone, Region string
	RequestRate        float64 // capacity in requests a second, where the list is polled; 0: no limit
}

// Config describes the service.
type Config struct {
	Replicas []ReplicaConfig
	// Poll makes the clients poll a shared service, whose replicas serve requests in order at their capacity. Otherwise
	// the list is pushed to an agent on each client's machine, which responds at once with what it has, and is silent
	// while it reaches no replica.
	Poll             bool
	ReplicationDelay time.Duration // until a change accepted by one replica reaches the others
	QueueLimit       time.Duration // with Poll: a request that would wait longer is rejected; 0: 1 s
	LogLimit         int           // entries of a replica's log of one list; 0: 1024
	Random           *rand.Rand    // of all random draws; the service alone may use it from now on
	// OnRequest is called for each valid request when it arrives, by many goroutines. It must not call Close, and may
	// be nil.
	OnRequest func(Observation)
}

// Change is a change that the service has accepted.
type Change struct {
	List   string
	Number int64 // counts the accepted changes of all lists, from 1
	At     time.Time
}

// Observation is what a request shows of its client's list.
type Observation struct {
	Client, List string
	// Complete is the number of the change up to which the client has every accepted one of the list, by the version of
	// its request. It is Unknown without a version, or with one that no log covers.
	Complete int64
	At       time.Time
}

// Service is the discovery service: its replicas, its clients and the faults in force.
type Service struct {
	config         Config
	server         *http.Server
	memoryListener *memoryListener
	closed         chan struct{}
	running        sync.WaitGroup // accept loops, and the server's connections

	mu              sync.Mutex // guards all below, and the state of replicas and clients
	replicas        []*replica
	lastChange      int64 // number of the last accepted change
	lastEpoch       int64 // of the latest start of a replica
	deliveries      []delivery
	conns           []*conn // in the order of their arrival
	listeners       []net.Listener
	faults          faults
	topologyChanged chan struct{} // closed and replaced when replicas or links change
}

// New starts a service with empty lists.
func New(config Config) (*Service, error) {
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	if config.LogLimit == 0 {
		config.LogLimit = defaultLogLimit
	}
	s := &Service{
		config:          config,
		memoryListener:  newMemoryListener(),
		closed:          make(chan struct{}),
		faults:          faults{cutZones: map[string]bool{}},
		topologyChanged: make(chan struct{}),
	}
	for _, c := range config.Replicas {
		s.lastEpoch++
		s.replicas = append(s.replicas, newReplica(c, s.lastEpoch, config.LogLimit))
	}
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serveRequest), ConnContext: connContext, ConnState: s.trackConn,
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	s.running.Go(func() { _ = s.server.Serve(s.memoryListener) }) // ends with Close
	return s, nil
}

func (c Config) check() error {
	if len(c.Replicas) == 0 {
		return errors.New("no Replicas")
	}
	if c.Random == nil {
		return errors.New("no Random")
	}
	if c.ReplicationDelay < 0 || c.QueueLimit < 0 || c.LogLimit < 0 {
		return fmt.Errorf("negative ReplicationDelay %v, QueueLimit %v or LogLimit %d",
			c.ReplicationDelay, c.QueueLimit, c.LogLimit)
	}
	names := map[string]bool{}
	for _, r := range c.Replicas {
		if r.Name == "" || names[r.Name] {
			return fmt.Errorf("empty or duplicate replica name %q", r.Name)
		}
		if !(r.RequestRate >= 0) {
			return fmt.Errorf("replica %q: negative RequestRate %v", r.Name, r.RequestRate)
		}
		names[r.Name] = true
	}
	return nil
}

// Close stops the service, its listeners and its connections, and returns once all of its goroutines have ended.
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
		_ = l.Close() // it carries no data
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

// Publish makes a live replica of a region accept changes of a list's endpoints. An endpoint that is not on the list is
// added, and one of status Deleted is removed. The error wraps ErrNoReplica if the region has no such replica.
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
	s.lastChange++
	change := Change{List: list, Number: s.lastChange, At: time.Now()}
	for _, r := range s.replicas {
		r.list(list).expectChange(change.Number)
	}
	origin.list(list).apply(change.Number, changes)
	s.replicate(change, changes, origin)
	return change, nil
}

// checkChanges checks that clients can read the changes.
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
			return fmt.Errorf("duplicate endpoint %q", e.Name)
		}
		names[e.Name] = true
	}
	return nil
}

// acceptingReplica draws one of the live replicas of a region whose zones are not isolated.
func (s *Service) acceptingReplica(region string) *replica {
	var candidates []*replica
	for _, r := range s.replicas {
		if r.live && r.Region == region && !s.faults.cutZones[r.Zone] {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.config.Random.IntN(len(candidates))]
}
