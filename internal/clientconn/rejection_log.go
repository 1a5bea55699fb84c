package clientconn

import (
	"log/slog"
	"sync"
	"time"
)

// rejectionLogInterval is the least time between two log lines about rejected heads.
const rejectionLogInterval = time.Second

// rejectionLog logs heads that were rejected for lack of memory, with a count instead of a line for each. It is safe for
// concurrent use.
type rejectionLog struct {
	log *slog.Logger // nil for none

	mu       sync.Mutex // guards the fields below
	rejected int        // since the last line
	loggedAt time.Time  // when the last line was logged; zero before the first one
}

// add records a rejected head. It logs the first one at once; those within rejectionLogInterval after a line are counted in
// the next line.
func (l *rejectionLog) add(now time.Time) {
	if l.log == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < rejectionLogInterval {
		return
	}
	l.log.Warn("large request heads rejected for lack of memory", "count", l.rejected)
	l.rejected, l.loggedAt = 0, now
}
