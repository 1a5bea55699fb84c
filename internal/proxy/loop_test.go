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

// The client of a request that was rejected for its ID may disconnect before it has read that. This must not affect the
// open request of the same ID.
func TestLoopIgnoresCancellationOfRejectedDuplicate(t *testing.T) {
	release := make(chan struct{})
	p, b := startServing(t, respondAfter(release))
	c := connect(t, p)
	c.send(t, lookRequest("h", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	duplicate := downstream.NewRequest()
	duplicate.ID = "h"
	p.loop.Submit(duplicate)
	p.loop.Cancel(duplicate)
	close(release)
	if resp, body := c.readResponse(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %s %q", resp.Status, body)
	}
}

// Two requests of one ID could not be told apart.
func TestLoopRejectsDuplicateRequestID(t *testing.T) {
	p, b := startServing(t, backendtest.Hang(t))
	first, second := connect(t, p), connect(t, p)
	first.send(t, lookRequest("1", 8000))
	backendtest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	second.send(t, lookRequest("1", 8000))
	if resp, _ := second.readResponse(t); resp.StatusCode != 400 {
		t.Errorf("got %s", resp.Status)
	}
}

// Ever new IDs, keys, backends and zones leave nothing behind.
func TestLoopForgetsFinishedRequestsAndDeletedBackends(t *testing.T) {
	p, _ := startServing(t, backendtest.Respond(backendtest.OK, true))
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
		t.Errorf("left behind: %+v", s)
	}
}

// When the loop ends nobody takes events any more; those that attempts still post must not keep it from ending.
func TestLoopEndsWithMoreAttemptsInFlightThanBufferedEvents(t *testing.T) {
	p, _ := startServing(t, backendtest.Respond(backendtest.OK, true))
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
