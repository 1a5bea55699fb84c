package clientconn

import (
	"container/list"
	"time"

	"baylock/internal/socket"
)

// unusedGrace protects an unused connection: its client may be about to send its first request.
const unusedGrace = 250 * time.Millisecond

// evictLocked closes one connection that carries no request, and reports whether there was one: the oldest unused one
// if it is older than unusedGrace, else the one that has been idle longest, else the oldest unused one after all.
func (l *Listener) evictLocked() bool {
	now := time.Now()
	if oldest := l.unused.Front(); oldest != nil && now.Sub(oldest.Value.(*Conn).listedAt) > unusedGrace &&
		l.evictFromLocked(l.unused, now) {
		return true
	}
	return l.evictFromLocked(l.idle, now) || l.evictFromLocked(l.unused, now)
}

// evictFromLocked spares connections on which bytes of a request have arrived that net/http has not reported yet:
// closing them would lose it.
func (l *Listener) evictFromLocked(candidates *list.List, now time.Time) bool {
	for e := candidates.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		unreported := c.head.started() && now.Sub(time.Unix(0, c.lastRead.Load())) < l.requestGrace
		if !unreported && socket.IsQuiet(c) {
			l.closeLocked(c)
			return true
		}
	}
	return false
}

// CloseIdle closes the connections that have carried no request for idleFor since their last one, and the unused ones
// older than unusedFor. Those on which bytes of a request have arrived stay, since closing them would lose it. It returns
// how many connections remain, and how many of these carry a request.
func (l *Listener) CloseIdle(idleFor, unusedFor time.Duration) (remaining, active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.connections {
		if l.expiredLocked(c, idleFor, unusedFor) && socket.IsQuiet(c) && !c.head.started() {
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
