package depth

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/emulator/hollow"
)

// size says how large a chain is, and how long and how hard it is driven. Its times are whole seconds.
type size struct {
	tiers    int
	backends int           // of each tier
	fronts   int           // proxies in front of the first tier
	rate     float64       // calls of users a second, over all of these
	settle   time.Duration // before the trouble
	trouble  time.Duration
	recovery time.Duration // watched after it

	longRecovery time.Duration // the same where the trouble was whole
}

func (s size) end() time.Duration { return s.settle + s.trouble + s.recovery }

// The parts of calls by class; the rest is unsafe.
const (
	safePart  = 0.8
	keyedPart = 0.1
)

const sampleEvery = time.Second

// userCall is what became of one call of a user.
type userCall struct {
	begun   time.Duration // since the start of the play
	class   int
	outcome hollow.Outcome
	inTime  bool // served before its deadline
}

// sample is what had been counted at one instant.
type sample struct {
	at      time.Duration // since the start of the play
	calls   int           // that users had made
	arrived []int64       // attempts at each tier
	byClass []int64       // attempts at the deepest tier
}

// record is all that was seen in one play.
type record struct {
	calls   []*userCall // in the order of their beginning
	samples []sample
	counts  []backend.Counts // of each tier, at the end
}

// player drives a chain with the calls of users.
type player struct {
	size
	chain  *chain
	random *rand.Rand
	start  time.Time
	record record
	open   sync.WaitGroup // calls that have no answer yet
}

// play drives a fresh chain whose deepest tier has faults for a while, and returns what was seen.
func play(ctx context.Context, s size, faults backend.Faults, seed uint64) (*record, error) {
	c, err := newChain(s, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	var proxies sync.WaitGroup
	proxies.Go(func() { c.run(ctx) })
	p := &player{size: s, chain: c, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now()}
	err = p.drive(ctx, faults)
	p.open.Wait()
	stop()
	proxies.Wait()
	if err != nil {
		return nil, fmt.Errorf("play a chain: %w", err)
	}
	for _, t := range c.tiers {
		p.record.counts = append(p.record.counts, t.Counts())
	}
	return &p.record, nil
}

// drive makes the calls, and between them takes samples and begins and ends the trouble.
func (p *player) drive(ctx context.Context, faults backend.Faults) error {
	next := p.gap()
	for tick := time.Duration(0); tick <= p.end(); tick += sampleEvery {
		for ; next < tick; next += p.gap() {
			if err := p.awaitTime(ctx, next); err != nil {
				return err
			}
			p.call(ctx)
		}
		if err := p.awaitTime(ctx, tick); err != nil {
			return err
		}
		if err := p.change(tick, faults); err != nil {
			return err
		}
		p.sample()
	}
	return nil
}

// gap draws the time to the next call of a Poisson process.
func (p *player) gap() time.Duration {
	return time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second))
}

// awaitTime waits until so long after the start. It returns an error once the context has ended.
func (p *player) awaitTime(ctx context.Context, at time.Duration) error {
	timer := time.NewTimer(time.Until(p.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// change begins or ends the trouble if it is time for that.
func (p *player) change(tick time.Duration, faults backend.Faults) error {
	switch tick {
	case p.settle:
		return p.chain.deepest().SetFaults(faults)
	case p.settle + p.trouble:
		return p.chain.deepest().SetFaults(backend.Faults{})
	}
	return nil
}

func (p *player) sample() {
	s := sample{at: time.Since(p.start), calls: len(p.record.calls)}
	for _, t := range p.chain.tiers {
		counts := t.Counts()
		s.arrived = append(s.arrived, counts.Arrivals)
		s.byClass = counts.ArrivalsByClass // the last one stays
	}
	p.record.samples = append(p.record.samples, s)
}

// call makes one call through one of the front's proxies.
func (p *player) call(ctx context.Context) {
	u := &userCall{begun: time.Since(p.start), class: p.class()}
	front := p.chain.fronts[p.random.IntN(len(p.chain.fronts))]
	p.record.calls = append(p.record.calls, u)
	deadline := p.start.Add(u.begun + classes[u.class].Deadline.Duration())
	call := hollow.Call{ID: "user/" + strconv.Itoa(len(p.record.calls)), Class: u.class, Deadline: deadline, Depth: 1}
	p.open.Go(func() {
		u.outcome = front.Call(ctx, call).Outcome
		u.inTime = u.outcome == hollow.Served && !time.Now().After(deadline)
	})
}

func (p *player) class() int {
	x := p.random.Float64()
	switch {
	case x < safePart:
		return safeClass
	case x < safePart+keyedPart:
		return keyedClass
	}
	return unsafeClass
}

// between returns the calls that were begun in a span of time.
func (r *record) between(from, to time.Duration) []*userCall {
	first, _ := slices.BinarySearchFunc(r.calls, from, compareBegun)
	end, _ := slices.BinarySearchFunc(r.calls, to, compareBegun)
	return r.calls[first:end]
}

func compareBegun(u *userCall, at time.Duration) int { return int(u.begun - at) }
