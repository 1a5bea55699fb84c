package registry

import "time"

// replica is one replica of the discovery service. Its stored changes survive a restart, but its log does not.
type replica struct {
	ReplicaConfig
	live     bool
	epoch    int64 // of its last start
	logLimit int
	lists    map[string]*endpointList
	load     int       // number of connections where the list is polled, otherwise of attached agents
	idleAt   time.Time // when it will have served all queued requests
	usage    usage
}

func newReplica(config ReplicaConfig, epoch int64, logLimit int) *replica {
	return &replica{ReplicaConfig: config, live: true, epoch: epoch, logLimit: logLimit,
		lists: map[string]*endpointList{}}
}

// list returns the replica's copy of a list, which is empty if nothing has been published to the list.
func (r *replica) list(name string) *endpointList {
	l, ok := r.lists[name]
	if !ok {
		l = newEndpointList(r.epoch, r.logLimit)
		r.lists[name] = l
	}
	return l
}

// start starts the replica with a new log, after merging the lists of the given peers.
func (r *replica) start(epoch int64, peers []*replica) {
	for _, peer := range peers {
		r.merge(peer)
	}
	r.live, r.epoch, r.idleAt = true, epoch, time.Time{}
	for _, l := range r.lists {
		l.resetLog(epoch)
	}
}

func (r *replica) merge(peer *replica) {
	for name, l := range peer.lists {
		r.list(name).merge(l)
	}
}

// reserveCapacity queues a request and returns the time until it has been served, or false if it would be queued for
// longer than the limit. A request that is cancelled later still uses the capacity.
func (r *replica) reserveCapacity(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	if r.RequestRate == 0 {
		return 0, true
	}
	start := r.idleAt
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > limit {
		return 0, false
	}
	r.idleAt = start.Add(time.Duration(float64(time.Second) / r.RequestRate))
	return r.idleAt.Sub(now), true
}
