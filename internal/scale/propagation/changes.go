package propagation

import (
	"context"
	"math/rand/v2"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
	"baylock/internal/timing"
)

// changeGenerator generates random changes of backends. It changes every backend once, in random order, before it
// changes any of them again.
type changeGenerator struct {
	random    *rand.Rand
	lists     []string // endpoint list of each backend
	endpoints []discovery.Endpoint
	order     []int // indexes of the backends, in the order in which the current round changes them
	next      int   // number of changes so far
}

func newChangeGenerator(random *rand.Rand) *changeGenerator { return &changeGenerator{random: random} }

// add adds a backend with its current state.
func (c *changeGenerator) add(list string, e discovery.Endpoint) {
	c.lists, c.endpoints = append(c.lists, list), append(c.endpoints, e)
}

// nextInterval returns a random time until the next change. The changes are a Poisson process.
func (c *changeGenerator) nextInterval(perSecond float64) time.Duration {
	return time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second))
}

// nextChange changes the state of the next backend, and returns its list and its new state. A serving backend starts
// draining, is removed or restarts; a draining one is removed; a removed one restarts.
func (c *changeGenerator) nextChange(now time.Time) (list string, e discovery.Endpoint) {
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

// publishChanges starts a publisher of generated changes.
func (f *fleet) publishChanges(ctx context.Context) *publisher {
	ctx, cancel := context.WithCancel(ctx)
	p := &publisher{cancel: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- f.publishUntil(ctx) }()
	return p
}

func (f *fleet) publishUntil(ctx context.Context) error {
	for timing.Wait(ctx, f.changes.nextInterval(f.size.changeRate)) == nil {
		list, e := f.changes.nextChange(time.Now())
		region := regionOf(e.Zone)
		err := f.tracker.publish(list, region, e, func() (time.Time, error) {
			accepted, err := f.real.publish(func() (registry.Change, error) { return f.registry.Publish(list, region, e) })
			return accepted.At, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// stop stops the publisher. It returns the error that ended it earlier, if any.
func (p *publisher) stop() error {
	p.cancel()
	return <-p.ended
}
