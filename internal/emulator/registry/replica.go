package registry

import (
	"time"
)

// replica is one of the service's servers. What it has stored outlives its end, its log does not.
type replica struct {
	ReplicaConfig
	live     bool
	epoch    int64 // of its last start
	logLimit int
	lists    map[string]*memberList
	load     int       // connections, or agents that follow it
	freeAt   time.Time // when it has worked off the calls that wait in turn
	usage    usage
}

func newReplica(config ReplicaConfig, epoch int64, logLimit int) *replica {
	return &replica{ReplicaConfig: config, live: true, epoch: epoch, logLimit: logLimit, lists: map[string]*memberList{}}
}

// list is the replica's copy of a list, empty if nothing has been published on it.
func (r *replica) list(name string) *memberList {
	l, ok := r.lists[name]
	if !ok {
		l = newMemberList(r.epoch, r.logLimit)
		r.lists[name] = l
	}
	return l
}

// start brings the replica up with a new log, after it has taken in all that the given peers have.
func (r *replica) start(epoch int64, peers []*replica) {
	for _, peer := range peers {
		r.merge(peer)
	}
	r.live, r.epoch, r.freeAt = true, epoch, time.Time{}
	for _, l := range r.lists {
		l.restart(epoch)
	}
}

func (r *replica) merge(peer *replica) {
	for name, l := range peer.lists {
		r.list(name).merge(l)
	}
}

// takeTurn gives the time that a call takes, with its wait for those before it, or says that it would wait longer than
// the limit. A turn once taken is worked off, even if its call is given up.
func (r *replica) takeTurn(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	if r.CallsPerSecond == 0 {
		return 0, true
	}
	start := r.freeAt
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > limit {
		return 0, false
	}
	r.freeAt = start.Add(time.Duration(float64(time.Second) / r.CallsPerSecond))
	return r.freeAt.Sub(now), true
}
