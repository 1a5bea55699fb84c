// Package registry emulates the discovery service: replicas that store endpoint lists, replicate changes and serve
// clients in wire format, over loopback TCP or in memory. It counts the replicas' load and injects faults.
//
// A change is accepted by one replica and is durable from then on. It reaches every other replica after the replication
// delay, or once that replica is live and reachable. If two changes affect the same endpoint, the one accepted later
// wins on every replica. A version is valid only for one replica's log since the replica's last start: a client that
// moves to another replica gets a snapshot, so that it misses no change. Each address serves one list, and the versions
// of one list are meaningless at an address that serves another.
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

// Unknown is the CompleteThrough of an Observation if it is not known which changes the client has.
const Unknown int64 = -1

// ErrNoReplica is returned if a region has no live, reachable replica that can accept a change.
var ErrNoReplica = errors.New("no live replica is reachable in the region")

var errClosed = errors.New("the service is closed")

// Location is a client's name and its location in the network.
type Location struct{ Name, Zone, Region string }

// ReplicaConfig describes one replica of the service.
type ReplicaConfig struct {
	Name, Zone, Region string
	RequestRate        float64 // capacity in requests per second, where the list is polled; 0: no limit
}

// Config describes the service.
type Config struct {
	Replicas []ReplicaConfig
	// Poll makes the clients poll a shared service, whose replicas serve requests in order, limited by their capacity.
	// Otherwise, the list is pushed to an agent on each client's machine. The agent responds without queueing or
	// capacity limit, and does not respond while it cannot reach any replica.
	Poll             bool
	ReplicationDelay time.Duration // time until a change accepted by one replica reaches the others
	QueueLimit       time.Duration // with Poll: requests that would be queued for longer are rejected; 0: 1 s
	LogLimit         int           // maximum number of entries in a replica's log of one list; 0: 1024
	Random           *rand.Rand    // used for all random choices; no one else may use it while the service runs
	// OnRequest is called when a valid request arrives, concurrently from many goroutines. It must not call Close, and
	// may be nil.
	OnRequest func(Observation)
}

// Change identifies a change that the service has accepted.
type Change struct {
	List   string
	Number int64     // the accepted changes of all lists are numbered together, from 1
	At     time.Time // when it was accepted
}

// Observation reports which changes of a list a client has, derived from the version in one of its requests.
type Observation struct {
	Client, List string
	// CompleteThrough is the change number up to which the client has every accepted change of the list. It is Unknown
	// if the request has no version, or one that no replica's log covers.
	CompleteThrough int64
	At              time.Time // when the request arrived
}

// Service is the emulated discovery service: its replicas, its clients and the active faults.
type Service struct {
	config         Config
	server         *http.Server
	memoryListener *memoryListener
	closed         chan struct{}
	running        sync.WaitGroup // accept loops, the HTTP server and its connections

	mu              sync.Mutex // guards the fields below and the state of replicas and clients
	replicas        []*replica
	lastChange      int64 // number of the last accepted change
	lastEpoch       int64 // epoch of the most recent start of any replica
	deliveries      []delivery
	conns           []*conn // in order of arrival
	listeners       []net.Listener
	faults          faults
	topologyChanged chan struct{} // closed and replaced when a replica or a link goes down or recovers
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
		return errors.New("config has no Replicas")
	}
	if c.Random == nil {
		return errors.New("config has no Random")
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
			return fmt.Errorf("replica %q: RequestRate %v is negative or not a number", r.Name, r.RequestRate)
		}
		names[r.Name] = true
	}
	return nil
}

// Close stops the service, closes its listeners and connections, and returns once all of its goroutines have ended.
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
		_ = l.Close() // a listener has no data to lose
	}
	_ = s.server.Close()
	for _, c := range conns { // the server may not have accepted all of them yet
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

// Publish makes a random live replica of a region accept changes to a list's endpoints. An endpoint that is not on the
// list is added, and one with status Deleted is removed. The error wraps ErrNoReplica if the region has no live replica
// outside isolated zones.
func (s *Service) Publish(list, region string, changes ...discovery.Endpoint) (Change, error) {
	if err := checkChanges(changes); err != nil {
		return Change{}, fmt.Errorf("publish to list %q: %w", list, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return Change{}, errClosed
	}
	origin := s.acceptingReplica(region)
	if origin == nil {
		return Change{}, fmt.Errorf("publish to list %q in region %q: %w", list, region, ErrNoReplica)
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

// checkChanges checks that clients can parse the changes, and that no endpoint occurs twice.
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

// acceptingReplica returns a random live replica of a region, outside isolated zones, or nil if there is none.
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
