package registry

import "time"

// replica is one server of the service. Its stored changes survive a restart, its log does not.
type replica struct {
	ReplicaConfig
	live     bool
	epoch    int64 // of its last start
	logLimit int
	lists    map[string]*memberList
	load     int       // its connections, or the agents that follow it
	idleAt   time.Time // when it has served the requests in its queue
	usage    usage
}

func newReplica(config ReplicaConfig, epoch int64, logLimit int) *replica {
	return &replica{ReplicaConfig: config, live: true, epoch: epoch, logLimit: logLimit, lists: map[string]*memberList{}}
}

// list returns the replica's copy of a list, empty if nothing has been published on it.
func (r *replica) list(name string) *memberList {
	l, ok := r.lists[name]
	if !ok {
		l = newMemberList(r.epoch, r.logLimit)
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

// reserveCapacity returns the service time of a request with its wait in the queue, or false if that wait is over the
// limit. The capacity is used even if the request is cancelled.
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
