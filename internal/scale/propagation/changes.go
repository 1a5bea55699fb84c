package propagation

import (
	"context"
	"math/rand/v2"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
	"baylock/internal/timing"
)

// changer draws changes. It goes through all backends in a drawn order, so that one changes again only after all others.
type changer struct {
	random    *rand.Rand
	lists     []string // of each backend
	endpoints []discovery.Endpoint
	order     []int
	next      int
}

func newChanger(random *rand.Rand) *changer { return &changer{random: random} }

// add takes a backend in, with its present state.
func (c *changer) add(list string, e discovery.Endpoint) {
	c.lists, c.endpoints = append(c.lists, list), append(c.endpoints, e)
}

// wait draws the time until the next change of a Poisson process.
func (c *changer) wait(perSecond float64) time.Duration {
	return time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second))
}

// draw changes the next backend: a serving one drains, goes or starts anew, a draining one goes, and one that has gone
// starts anew.
func (c *changer) draw(now time.Time) (list string, e discovery.Endpoint) {
	if c.next%len(c.endpoints) == 0 {
		c.order = c.random.Perm(len(c.endpoints))
	}
	i := c.order[c.next%len(c.endpoints)]
	c.next++
	backend := &c.endpoints[i]
	switch backend.Status {
	case discovery.Serving:
		kinds := []discovery.Status{discovery.Draining, discovery.Deleted, discovery.Serving}
		backend.Status = kinds[c.random.IntN(len(kinds))]
	case discovery.Draining:
		backend.Status = discovery.Deleted
	case discovery.Deleted:
		backend.Status = discovery.Serving
	}
	if backend.Status == discovery.Serving {
		backend.SinceMs = now.UnixMilli()
	}
	return c.lists[i], *backend
}

// publisher publishes changes until it is stopped.
type publisher struct {
	cancel context.CancelFunc
	ended  chan error
}

// publishChanges begins to publish drawn changes.
func (f *fleet) publishChanges(ctx context.Context) *publisher {
	ctx, cancel := context.WithCancel(ctx)
	p := &publisher{cancel: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- f.publishUntil(ctx) }()
	return p
}

func (f *fleet) publishUntil(ctx context.Context) error {
	for timing.Wait(ctx, f.changer.wait(f.size.changesPerSecond)) == nil {
		list, e := f.changer.draw(time.Now())
		region := regionOf(e.Zone)
		err := f.tracker.publish(list, region, e, func() (time.Time, error) {
			accepted, err := f.real.publish(func() (registry.Change, error) { return f.service.Publish(list, region, e) })
			return accepted.At, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends it and returns why it has ended before, if it has.
func (p *publisher) stop() error {
	p.cancel()
	return <-p.ended
}
