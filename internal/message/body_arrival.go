package message

import "time"

const (
	// MaxClientBuffer is how many bytes of what a client has written its kernel holds at most: the default maximum of a TCP
	// send buffer on Linux.
	MaxClientBuffer = 4 << 20

	arrivalMarkDistance = 1 << 20 // bytes between two positions of a body whose arrival is recorded

	// refillTime is how long after a read bytes may arrive that the client had written before: the read makes room for them.
	refillTime = 20 * time.Millisecond

	refillCheckInterval = 2 * time.Millisecond // between two looks for such bytes

	// probeTime is how soon after a read the client's kernel may send such bytes to probe a nearly closed window. It is a
	// little less than the minimum of TCP's retransmission timeout on Linux, which is also the time between two probes.
	probeTime = 180 * time.Millisecond
)

// bodyArrival estimates when a client can have written the last byte of a body at the earliest. Only the client's kernel
// knows that time: while the proxy does not read, bytes that the client has written remain there. But the last byte was not
// written yet while the proxy had to wait for the client, while further bytes arrived although the proxy did not read, and
// while more of the body was missing than the client's kernel can hold.
type bodyArrival struct {
	length    int64       // announced length of the body in bytes; -1 if none
	notBefore time.Time   // the last byte was not written before
	marks     []time.Time // when the bytes that had arrived first reached each multiple of arrivalMarkDistance

	lastRead time.Time // when the last read ended
	unread   int       // as observed since then; -1 if not observed yet
	grew     bool      // unread was greater than when it was observed before
}

// waited records that a read of the body had to wait for the client until the given time.
func (a *bodyArrival) waited(until time.Time) {
	if until.After(a.notBefore) {
		a.notBefore = until
	}
}

// read records that a read has ended, after which so many bytes of the body have been read in all.
func (a *bodyArrival) read(now time.Time, received int64) {
	a.lastRead, a.unread, a.grew = now, -1, false
	a.mark(now, received)
}

// observe records the number of unread bytes at a time at which the proxy does not read. If it grows, the client is still
// writing, unless its kernel had held those bytes back. A probe makes it grow once, but not twice in a row.
func (a *bodyArrival) observe(now time.Time, received int64, unread int) {
	a.mark(now, received+int64(unread))
	sinceRead := now.Sub(a.lastRead)
	if sinceRead < refillTime {
		return
	}
	grew := a.unread >= 0 && unread > a.unread
	if grew && (a.grew || sinceRead < probeTime) {
		a.waited(now)
	}
	a.unread, a.grew = unread, grew
}

func (a *bodyArrival) mark(now time.Time, arrived int64) {
	for int64(len(a.marks))*arrivalMarkDistance <= arrived {
		a.marks = append(a.marks, now)
	}
}

// earliestEnd returns the earliest time at which the client can have written the last byte, if so many bytes have been read.
func (a *bodyArrival) earliestEnd(now time.Time, received int64) time.Time {
	end := a.length
	if end < 0 {
		end = received + 1 // the end of the body has not been read
	}
	beyondClientBuffer := end - MaxClientBuffer
	if beyondClientBuffer < 0 {
		return a.notBefore
	}
	mark := int(beyondClientBuffer / arrivalMarkDistance)
	switch {
	case mark >= len(a.marks):
		return now
	case a.marks[mark].After(a.notBefore):
		return a.marks[mark]
	}
	return a.notBefore
}
