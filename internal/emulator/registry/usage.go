package registry

import (
	"sync"
	"time"
)

// ReplicaUsage is what the calls of a while have cost one replica.
type ReplicaUsage struct {
	Name              string
	Calls, Refused    int64
	WholeLists        int64 // answers with the whole list
	BytesIn, BytesOut int64 // with the headers
	BusiestCalls      int64 // calls in the busiest second
	BusiestBytes      int64 // bytes in and out in the busiest second
}

// Usage gives the usage of each replica since the last time it was asked for. Where the list is pushed, an agent's
// calls and bytes count for the replica that it follows. A second in which it is asked for counts in two parts.
func (s *Service) Usage() []ReplicaUsage {
	out := make([]ReplicaUsage, 0, len(s.replicas))
	for _, r := range s.replicas {
		total := r.usage.take()
		total.Name = r.Name
		out = append(out, total)
	}
	return out
}

// usage counts what a replica does.
type usage struct {
	mu     sync.Mutex
	total  ReplicaUsage
	second int64 // Unix time of the second that the two below belong to
	calls  int64
	bytes  int64
}

func (u *usage) take() ReplicaUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := u.total
	u.total, u.calls, u.bytes = ReplicaUsage{}, 0, 0
	return total
}

func (u *usage) addCall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turnSecond()
	u.total.Calls++
	u.calls++
	u.total.BusiestCalls = max(u.total.BusiestCalls, u.calls)
}

func (u *usage) addBytesIn(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.BytesIn += int64(n)
	u.addBytes(n)
}

func (u *usage) addBytesOut(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.BytesOut += int64(n)
	u.addBytes(n)
}

func (u *usage) addBytes(n int) {
	u.turnSecond()
	u.bytes += int64(n)
	u.total.BusiestBytes = max(u.total.BusiestBytes, u.bytes)
}

func (u *usage) addRefused() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Refused++
}

func (u *usage) addWholeList() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.WholeLists++
}

// turnSecond begins a new second if it is time.
func (u *usage) turnSecond() {
	if now := time.Now().Unix(); now != u.second {
		u.second, u.calls, u.bytes = now, 0, 0
	}
}
