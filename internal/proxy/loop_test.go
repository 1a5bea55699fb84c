package proxy

import (
	"net/http"
	"testing"

	"baylock/internal/downstream"
)

// inspection is an event that has the loop call a function.
type inspection func()

func (f inspection) handle(*eventLoop) { f() }

// onLoop has the proxy's loop call a function.
func (p *running) onLoop(f func()) { p.loop.post(inspection(f)) }

// The client of a request that was rejected for its ID may go before it has read that. It has no part in the request of
// the same ID that is open.
func TestLoopIgnoresCancellationOfRejectedDuplicate(t *testing.T) {
	release := make(chan struct{})
	p, b := serving(t, holds(release))
	c := connect(t, p)
	c.send(t, look("h", 8000))
	waitUntil(t, func() bool { return b.requests.Load() == 1 })
	duplicate := downstream.NewRequest()
	duplicate.ID = "h"
	p.loop.Submit(duplicate)
	p.loop.Cancel(duplicate)
	close(release)
	if resp, body := c.answer(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %s %q", resp.Status, body)
	}
}
