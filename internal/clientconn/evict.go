package clientconn

import (
	"container/list"
	"time"
)

// unusedGrace is the age up to which an unused connection is evicted only if there is no idle one: its client may be
// about to send the first request.
const unusedGrace = 250 * time.Millisecond

// evictLocked closes one connection without an open request, and reports whether it found one. It prefers the oldest
// unused connection if that is older than unusedGrace, then the one that has been idle longest, then the oldest unused
// one.
func (l *Listener) evictLocked() bool {
	now := time.Now()
	if oldest := l.unused.Front(); oldest != nil && now.Sub(oldest.Value.(*Conn).listedAt) > unusedGrace &&
		l.evictFromLocked(l.unused, now) {
		return true
	}
	return l.evictFromLocked(l.idle, now) || l.evictFromLocked(l.unused, now)
}

// evictFromLocked closes the first connection of a list that can be closed without losing a request, and reports whether
// it found one. It skips connections on which bytes have arrived that net/http has not reported as a request yet.
func (l *Listener) evictFromLocked(candidates *list.List, now time.Time) bool {
	for e := candidates.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		unreported := c.head.started() && now.Sub(time.Unix(0, c.lastRead.Load())) < l.requestGrace
		if !unreported && c.isQuiet() {
			l.closeLocked(c)
			return true
		}
	}
	return false
}

// CloseIdle closes the connections that have been idle for at least idleFor since their last request, and the unused ones
// that are older than unusedFor. It keeps those on which bytes of a request have arrived, since closing them would lose
// the request. It returns how many connections remain, and how many of these have an open request.
func (l *Listener) CloseIdle(idleFor, unusedFor time.Duration) (remaining, active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.connections {
		if l.expiredLocked(c, idleFor, unusedFor) && c.isQuiet() && !c.head.started() {
			l.closeLocked(c)
			continue
		}
		remaining++
		if c.list == nil {
			active++
		}
	}
	return remaining, active
}

func (l *Listener) expiredLocked(c *Conn, idleFor, unusedFor time.Duration) bool {
	age := time.Since(c.listedAt)
	return c.list == l.idle && age >= idleFor || c.list == l.unused && age > unusedFor
}

func (l *Listener) closeLocked(c *Conn) {
	l.removeLocked(c)
	c.Conn.Close()
}
