package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"baylock/internal/backendtest"
	"baylock/internal/discovery"
	"baylock/internal/downstream"
)

// A client whose request was rejected for a duplicate ID may disconnect before it has read the response. The cancellation
// must not affect the open request with the same ID.
func TestLoopIgnoresCancellationOfRejectedDuplicate(t *testing.T) {
	release := make(chan struct{})
	p, b := startProxyAndBackend(t, respondAfter(release))
	c := connect(t, p)
	c.send(t, lookRequest("h", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	duplicate := downstream.NewRequest()
	duplicate.ID = "h"
	p.loop.Submit(duplicate)
	p.loop.Cancel(duplicate)
	close(release)
	if resp, body := c.readResponse(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %s %q, want 200 and ok", resp.Status, body)
	}
}

// Two open requests with the same ID could not be distinguished.
func TestLoopRejectsDuplicateRequestID(t *testing.T) {
	p, b := startProxyAndBackend(t, backendtest.Hang(t))
	first, second := connect(t, p), connect(t, p)
	first.send(t, lookRequest("1", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.send(t, lookRequest("1", 8000))
	if resp, _ := second.readResponse(t); resp.StatusCode != 400 {
		t.Errorf("got %s, want 400", resp.Status)
	}
}

// The loop must not keep state for every ID, key, backend and zone it has seen, or its memory would grow without limit.
func TestLoopForgetsFinishedRequestsAndDeletedBackends(t *testing.T) {
	p, _ := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	const clients, each = 8, 250
	var all sync.WaitGroup
	for i := range clients {
		c := connect(t, p)
		all.Go(func() {
			for n := range each {
				c.send(t, strings.Replace(lookRequest(fmt.Sprint(i, "-", n), 4000), "/look/k", fmt.Sprintf("/look/k%d-%d", i, n), 1))
				c.readResponse(t)
			}
		})
	}
	all.Wait()
	type sizes struct{ reqs, timers, backends, zones int }
	got := make(chan sizes, 1)
	p.onLoop(func() {
		for i := range 5000 {
			e := discovery.Endpoint{Name: fmt.Sprint("s", i), Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i), Status: discovery.Serving}
			p.loop.applyUpdate(discovery.Update{List: &discovery.List{Index: int64(i), Endpoints: []discovery.Endpoint{e}}})
			e.Status = discovery.Deleted
			p.loop.applyUpdate(discovery.Update{List: &discovery.List{Index: int64(i), Endpoints: []discovery.Endpoint{e}}})
		}
		got <- sizes{len(p.loop.requests), p.loop.timers.Len(), p.loop.pool.Stats().Endpoints, len(p.loop.zones)}
	})
	if s := backendtest.Receive(t, "answer of the loop", got); s != (sizes{backends: 1, zones: 1}) {
		t.Errorf("remaining: %+v, want only one backend and one zone", s)
	}
}

// After the loop has ended nothing receives events. Attempts that still post events must not block and so keep run from
// returning.
func TestLoopEndsWithMoreAttemptsInFlightThanBufferedEvents(t *testing.T) {
	p, _ := startProxyAndBackend(t, backendtest.Respond(backendtest.OK, true))
	started := make(chan struct{})
	p.onLoop(func() {
		for range 2 * eventBuffer {
			p.loop.attempts.Go(func() {
				<-p.loop.attemptsContext.Done()
				p.loop.post(requestCanceled{downstream.NewRequest()})
			})
		}
		close(started)
	})
	backendtest.Receive(t, "start of the attempts", started)
	p.stop()
	if err := backendtest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}
