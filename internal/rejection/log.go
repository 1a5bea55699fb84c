// Package rejection logs requests that are rejected before they reach the balancer.
package rejection

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the least time between two lines of a Log.
const logInterval = time.Second

// Log logs rejections for one reason, with a count instead of a line for each. It is safe for concurrent use.
type Log struct {
	logger *slog.Logger // nil for none
	reason string       // the message of each line

	mu       sync.Mutex // guards the fields below
	rejected int        // since the last line
	loggedAt time.Time  // when the last line was logged; zero before the first one
}

// NewLog returns a Log that writes lines with the given message to logger, or none if logger is nil.
func NewLog(logger *slog.Logger, reason string) *Log { return &Log{logger: logger, reason: reason} }

// Add records a rejection. It logs the first one at once; those within logInterval after a line are counted in the next line.
func (l *Log) Add(now time.Time) {
	if l.logger == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.logger.Warn(l.reason, "count", l.rejected)
	l.rejected, l.loggedAt = 0, now
}
