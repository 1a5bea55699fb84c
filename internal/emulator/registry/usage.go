package registry

import (
	"sync"
	"time"
)

// ReplicaUsage is the load of one replica over a period of time.
type ReplicaUsage struct {
	Name               string
	Requests, Rejected int64
	Snapshots          int64 // responses with the complete list
	BytesIn, BytesOut  int64 // including HTTP headers
	PeakRequests       int64 // in the busiest second
	PeakBytes          int64 // in and out, in the busiest second
}

// Usage returns the usage of each replica since the previous call of Usage. Where the list is pushed, an agent's
// requests and bytes count for the replica that the agent is attached to. A call in the middle of a second splits that
// second's counts, and so its peak, between two results.
func (s *Service) Usage() []ReplicaUsage {
	usages := make([]ReplicaUsage, 0, len(s.replicas))
	for _, r := range s.replicas {
		usage := r.usage.reset()
		usage.Name = r.Name
		usages = append(usages, usage)
	}
	return usages
}

// usage counts the load of a replica since the last reset.
type usage struct {
	mu               sync.Mutex // guards the fields below
	total            ReplicaUsage
	currentSecond    int64 // Unix time
	requestsInSecond int64
	bytesInSecond    int64
}

// reset returns the counts and sets them to zero.
func (u *usage) reset() ReplicaUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := u.total
	u.total = ReplicaUsage{}
	u.requestsInSecond = 0
	u.bytesInSecond = 0
	return total
}

func (u *usage) addRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startSecond()
	u.total.Requests++
	u.requestsInSecond++
	u.total.PeakRequests = max(u.total.PeakRequests, u.requestsInSecond)
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

// addBytes counts bytes in either direction. The caller holds u.mu.
func (u *usage) addBytes(n int) {
	u.startSecond()
	u.bytesInSecond += int64(n)
	u.total.PeakBytes = max(u.total.PeakBytes, u.bytesInSecond)
}

func (u *usage) addRejected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Rejected++
}

func (u *usage) addSnapshot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.Snapshots++
}

// startSecond resets the per-second counts if a new second has begun. The caller holds u.mu.
func (u *usage) startSecond() {
	now := time.Now().Unix()
	if now == u.currentSecond {
		return
	}
	u.currentSecond = now
	u.requestsInSecond = 0
	u.bytesInSecond = 0
}
