package clientconn

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestRejectionLogCountsInsteadOfRepeating(t *testing.T) {
	var lines bytes.Buffer
	l := rejectionLog{log: slog.New(slog.NewTextHandler(&lines, nil))}
	begin := time.Now()
	for i := range 10 {
		l.add(begin.Add(time.Duration(i) * rejectionLogInterval / 5))
	}
	var counts []string
	for line := range strings.Lines(lines.String()) {
		_, count, _ := strings.Cut(strings.TrimSpace(line), "count=")
		counts = append(counts, count)
	}
	if got := strings.Join(counts, " "); got != "1 5" {
		t.Errorf("the lines have the counts %q, want 1 and 5", got)
	}
	(&rejectionLog{}).add(begin) // without a logger nothing happens
}
