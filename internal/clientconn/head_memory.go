package clientconn

import (
	"bytes"
	"sync"

	"baylock/internal/message"
)

// Estimated memory of a head. Its bytes are recorded, in a buffer that grows by doubling, and copied once more when net/http
// parses them. Each field also becomes an entry of a map.
const (
	memoryPerHeadByte  = 3   // bytes
	memoryPerHeadField = 128 // bytes

	// unreservedHeadMemory is what a connection's heads may take without a reservation. It is far more than the head of an
	// ordinary request takes, so that such a request never depends on what other clients send.
	unreservedHeadMemory = 8 << 10 // bytes
)

// headMemory accounts for the memory of the heads that a connection holds: that of the open request, and the next one as
// far as it has arrived. Its methods are safe for concurrent use.
type headMemory struct {
	mu          sync.Mutex           // guards the fields below
	reservation *message.Reservation // of the memory beyond unreservedHeadMemory
	open        int64                // bytes
	arriving    int64                // bytes
}

// add accounts for further bytes of the head that is arriving. It reports false if the budget does not allow them.
func (m *headMemory) add(head []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fields := bytes.Count(head, []byte{'\n'})
	m.arriving += int64(len(head)*memoryPerHeadByte + fields*memoryPerHeadField)
	excess := m.excessLocked()
	return excess == 0 || m.reservation.Resize(excess)
}

// requestRead makes the head that has arrived that of the open request.
func (m *headMemory) requestRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open, m.arriving = m.arriving, 0
}

// requestDone frees the memory of the open request's head.
func (m *headMemory) requestDone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	hasReserved := m.excessLocked() > 0
	m.open = 0
	if hasReserved { // else the budget, which all connections share, need not be locked
		m.reservation.Resize(m.excessLocked())
	}
}

// release frees all memory. Nothing can be reserved after it.
func (m *headMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
}

func (m *headMemory) excessLocked() int64 {
	return max(0, m.open+m.arriving-unreservedHeadMemory)
}
